#pragma once

// A latency histogram with logarithmic buckets, as a Boost.Accumulators set with a custom
// statistic. The density statistic of the library has linear bins whose range is fixed by the first
// samples, so higher latencies that occur later would fall outside it.

#include "types.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace jasminebank {

/// 200 buckets per decade, each 1.2 % wide, from 10 microseconds to 100 seconds. Samples outside
/// are counted in the first or last bucket.
struct log_scale {
    static constexpr std::size_t buckets_per_decade = 200;
    static constexpr std::size_t decades = 7;
    static constexpr std::size_t buckets = buckets_per_decade * decades;
    static constexpr double lowest_seconds = 1e-5;

    static std::size_t bucket_of(double seconds);
    /// Lower bound of a bucket; a fractional index gives a point inside it.
    static double seconds_of(double bucket);
};

using bucket_counts = std::array<std::uint64_t, log_scale::buckets>;

/// Boost.Accumulators statistic that counts samples, in seconds, by bucket.
template <class Sample>
struct log_buckets_accumulator : boost::accumulators::accumulator_base {
    using result_type = const bucket_counts&;

    log_buckets_accumulator(boost::accumulators::dont_care /*args*/) {}

    template <class Args>
    void operator()(const Args& args)
    {
        ++counts[log_scale::bucket_of(args[boost::accumulators::sample])];
    }

    result_type result(boost::accumulators::dont_care /*args*/) const { return counts; }

    bucket_counts counts{};
};

/// Tag that selects the statistic in an accumulator set.
struct log_buckets_tag : boost::accumulators::depends_on<> {
    using impl = log_buckets_accumulator<boost::mpl::_1>;
};

/// One bar of a histogram chart.
struct histogram_bar {
    duration from{};
    duration to{};
    std::uint64_t count = 0;
};

/// Counts latencies and computes mean, maximum and quantiles. Not thread-safe.
class latency_histogram {
public:
    void add(duration latency);

    std::uint64_t count() const;
    duration mean() const;
    duration max() const;
    /// The latency that a fraction `share` of the samples does not exceed, interpolated within its
    /// bucket; zero without samples.
    duration quantile(double share) const;
    /// Bars of a tenth of a decade each, from the first to the last one that holds samples.
    std::vector<histogram_bar> bars() const;

private:
    boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
                                   boost::accumulators::tag::max, log_buckets_tag>>
        set_;
};

} // namespace jasminebank
