#include "request_metrics.h"

#include <fmt/format.h>

namespace jasminebank {

// A series takes about 12 KB.
constexpr std::size_t most_organisations = 64;
constexpr std::size_t most_services = 200;
constexpr std::string_view others = "_others";

void request_metrics::add(series_table& table, std::size_t most, std::string_view name,
                          const request_sample& it)
{
    auto place = table.find(name);
    if (place == table.end()) {
        const bool room = table.size() < most;
        place = table.try_emplace(std::string(room ? name : others)).first;
    }
    series& out = place->second;
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
        add(organisations_, most_organisations, it.organisation, it);
    if (!it.service.empty())
        add(services_, most_services, it.service, it);
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
        std::uint64_t below = 0;
        for (const histogram_bar& bar : it.latency.bars()) {
            below += bar.count;
            out += fmt::format("{}_bucket{{{}=\"{}\",le=\"{:.6g}\"}} {}\n", name, label, key,
                               seconds(bar.to), below);
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
