#include "store_faults.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jasminebank {

using nlohmann::json;

template <class Number>
static bool read_count(const json& value, Number& out)
{
    constexpr std::uint64_t limit = 1'000'000'000;
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > limit)
        return false;
    out = value.get<Number>();
    return true;
}

static bool read_outage(const json& value, outage& out)
{
    if (value == "none")
        out = outage::none;
    else if (value == "refuse")
        out = outage::refuse;
    else if (value == "hang")
        out = outage::hang;
    else
        return false;
    return true;
}

static bool read_slow(const json& value, duration& out)
{
    constexpr std::int64_t max_millis = 600'000;
    std::int64_t millis = 0;
    if (!read_count(value, millis) || millis > max_millis)
        return false;
    out = std::chrono::milliseconds(millis);
    return true;
}

static bool read_member(const std::string& name, const json& value, fault_change& out)
{
    if (name == "down")
        return read_outage(value, out.faults.down);
    if (name == "slow_ms")
        return read_slow(value, out.faults.slow);
    if (name == "lose_answers")
        return read_count(value, out.faults.lose_answers);
    if (name == "stale_revisions")
        return read_count(value, out.faults.stale_revisions);
    if (name == "writes_per_second")
        return read_count(value, out.faults.writes_per_second);
    if (name == "reads_per_second")
        return read_count(value, out.faults.reads_per_second);
    if (name != "lapse_leases" || !value.is_boolean())
        return false;
    out.lapse_leases = value.get<bool>();
    return true;
}

std::optional<fault_change> read_fault_change(std::string_view text, const store_faults& now)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    fault_change out{.faults = now};
    for (const auto& [name, value] : document.items())
        if (!read_member(name, value, out))
            return std::nullopt;
    return out;
}

bool call_rate_limiter::admit(std::uint32_t rate, time_point now)
{
    if (rate == 0)
        return true;
    constexpr double burst_seconds = 0.1;
    const double passed = std::chrono::duration<double>(now - last_refill_).count();
    const double limit = std::max(1.0, rate * burst_seconds);
    tokens_ = std::min(limit, tokens_ + passed * rate);
    last_refill_ = now;
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace jasminebank
