#pragma once

// Results of a bench run: figures with units, and a signature (a hash of all decisions) that
// differs if the behaviour has changed.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// One measured value of the report.
struct bench_figure {
    std::string name;
    double value = 0;
    std::string unit;
};

/// Collects the figures and decisions of one run.
class bench_report {
public:
    void add_figure(std::string_view name, double value, std::string_view unit);
    /// Adds one decision to the signature. The result depends on the order of calls. Measured real
    /// times must not be added, since they differ between runs.
    void add_decision(std::uint64_t word);

    const std::vector<bench_figure>& figures() const { return figures_; }
    std::uint64_t signature() const { return signature_; }

private:
    std::vector<bench_figure> figures_;
    std::uint64_t signature_ = 0;
};

} // namespace jasminebank
