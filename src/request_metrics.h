#pragma once

// Metrics of the requests that one node accepted from callers: for each organisation and each
// service a latency histogram and counts by outcome, in the Prometheus text format. The number of
// series is bounded: the first organisations and services have their own series, all others share
// one.

#include "latency_histogram.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace jasminebank {

/// One request, refused or answered.
struct request_sample {
    std::string_view organisation; ///< empty if the request has no valid key
    std::string_view service;      ///< empty if no route was found
    std::string_view outcome;      ///< "ran", or the reason of the refusal
    duration latency{};            ///< until the head of the answer was ready
};

/// Thread-safe.
class request_metrics {
public:
    void add(const request_sample& it);
    /// Returns all series in the text format.
    std::string text() const;

private:
    // The histogram and the counts of one organisation or one service.
    struct series {
        latency_histogram latency;
        std::map<std::string, std::uint64_t, std::less<>> outcomes;
    };
    using series_table = std::map<std::string, series, std::less<>>;

    static void add(series_table& table, std::size_t max_series, std::string_view name,
                    const request_sample& it);
    static void append(std::string& out, std::string_view label, const series_table& table);

    mutable std::mutex mutex_;
    series_table organisations_;
    series_table services_;
};

} // namespace jasminebank
