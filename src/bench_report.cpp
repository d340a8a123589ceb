#include "bench_report.h"

#include "types.h"

namespace jasminebank {

void bench_report::add_figure(std::string_view name, double value, std::string_view unit)
{
    figures_.push_back({.name = std::string(name), .value = value, .unit = std::string(unit)});
}

void bench_report::add_decision(std::uint64_t word)
{
    signature_ = mix(signature_, word);
}

} // namespace jasminebank
