#include "request_metrics.h"

#include <fmt/format.h>

namespace jasminebank {

// A series uses about 12 KB of memory.
constexpr std::size_t max_organisations = 64;
constexpr std::size_t max_services = 200;
constexpr std::string_view overflow_series = "_others";

void request_metrics::add(series_table& table, std::size_t max_series, std::string_view name,
                          const request_sample& it)
{
    auto found = table.find(name);
    if (found == table.end()) {
        const bool has_room = table.size() < max_series;
        found = table.try_emplace(std::string(has_room ? name : overflow_series)).first;
    }
    series& out = found->second;
    out.latency.add(it.latency);
    const auto outcome = out.outcomes.find(it.outcome);
    if (outcome == out.outcomes.end())
        out.outcomes.emplace(it.outcome, 1);
    else
        ++outcome->second;
}

void request_metrics::add(const request_sample& it)
{
    const std::lock_guard lock(mutex_);
    if (!it.organisation.empty())
        add(organisations_, max_organisations, it.organisation, it);
    if (!it.service.empty())
        add(services_, max_services, it.service, it);
}

static double seconds(duration it)
{
    return std::chrono::duration<double>(it).count();
}

void request_metrics::append(std::string& out, std::string_view label, const series_table& table)
{
    const std::string name = fmt::format("jasminebank_{}_request_seconds", label);
    out += fmt::format("# TYPE {} histogram\n", name);
    for (const auto& [key, it] : table) {
        std::uint64_t cumulative = 0;
        for (const histogram_bar& bar : it.latency.bars()) {
            cumulative += bar.count;
            out += fmt::format("{}_bucket{{{}=\"{}\",le=\"{:.6g}\"}} {}\n", name, label, key,
                               seconds(bar.to), cumulative);
        }
        const std::uint64_t n = it.latency.count();
        out += fmt::format("{}_bucket{{{}=\"{}\",le=\"+Inf\"}} {}\n", name, label, key, n);
        out += fmt::format("{}_sum{{{}=\"{}\"}} {:.6f}\n", name, label, key,
                           seconds(it.latency.mean()) * static_cast<double>(n));
        out += fmt::format("{}_count{{{}=\"{}\"}} {}\n", name, label, key, n);
    }
    const std::string total = fmt::format("jasminebank_{}_requests_total", label);
    out += fmt::format("# TYPE {} counter\n", total);
    for (const auto& [key, it] : table) {
        for (const auto& [outcome, n] : it.outcomes)
            out +=
                fmt::format("{}{{{}=\"{}\",outcome=\"{}\"}} {}\n", total, label, key, outcome, n);
    }
}

std::string request_metrics::text() const
{
    const std::lock_guard lock(mutex_);
    std::string out;
    append(out, "organisation", organisations_);
    append(out, "service", services_);
    return out;
}

} // namespace jasminebank
