#pragma once

// What a bench run prints: figures with units, and one signature over all decisions, so that a
// change of behaviour shows in one number.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// One line of the report.
struct bench_figure {
    std::string name;
    double value = 0;
    std::string unit;
};

/// Collects figures and decisions of one run.
class bench_report {
public:
    void add_figure(std::string_view name, double value, std::string_view unit);
    /// Folds one decision into the signature. Order matters; figures of time stay out.
    void add_decision(std::uint64_t word);

    const std::vector<bench_figure>& figures() const { return figures_; }
    std::uint64_t signature() const { return signature_; }

private:
    std::vector<bench_figure> figures_;
    std::uint64_t signature_ = 0;
};

} // namespace jasminebank
