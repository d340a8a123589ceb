#include "backend_mode.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <limits>

namespace jasminebank {

namespace {

using json = nlohmann::json;

constexpr double max_ms = 3'600'000;
constexpr std::size_t max_crash_text_bytes = 256;

// Reads fields of a JSON object and erases them from it; fields that remain in the end are unknown.
// Keeps the first error only.
class mode_reader {
public:
    explicit mode_reader(json& object) : object_(object) {}

    void number(const char* name, double& out, double low, double high)
    {
        const auto it = object_.find(name);
        if (it == object_.end())
            return;
        if (it->is_number() && it->get<double>() >= low && it->get<double>() <= high)
            out = it->get<double>();
        else
            reject(name, fmt::format("a number from {} to {}", low, high));
        object_.erase(it);
    }

    void time(const char* name, duration& out)
    {
        double ms = std::chrono::duration<double, std::milli>(out).count();
        number(name, ms, 0, max_ms);
        out = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
    }

    void flag(const char* name, bool& out)
    {
        const auto it = object_.find(name);
        if (it == object_.end())
            return;
        if (it->is_boolean())
            out = it->get<bool>();
        else
            reject(name, "true or false");
        object_.erase(it);
    }

    void text(const char* name, std::string& out)
    {
        const auto it = object_.find(name);
        if (it == object_.end())
            return;
        if (it->is_string() && it->get<std::string>().size() <= max_crash_text_bytes)
            out = it->get<std::string>();
        else
            reject(name, "a text of at most 256 bytes");
        object_.erase(it);
    }

    void reject(std::string field, std::string allowed)
    {
        if (error_.field.empty())
            error_ = {.field = std::move(field), .allowed = std::move(allowed)};
    }

    mode_error finish()
    {
        if (!object_.empty())
            reject(object_.begin().key(), "only the documented fields");
        return error_;
    }

private:
    json& object_;
    mode_error error_;
};

bool draw_bool(double share, std::mt19937_64& random)
{
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
}

} // namespace

result<backend_mode, mode_error> parse_mode(std::string_view text)
{
    json object = json::parse(text, nullptr, false);
    if (!object.is_object())
        return mode_error{.field = "body", .allowed = "a JSON object"};
    backend_mode out;
    mode_reader in(object);
    in.number("slow_share", out.slow_share, 0, 1);
    in.number("slow_factor", out.slow_factor, 0.01, 1000);
    in.number("error_share", out.error_share, 0, 1);
    in.number("truncate_share", out.truncate_share, 0, 1);
    in.number("wrong_length_share", out.wrong_length_share, 0, 1);
    in.number("wrong_body_share", out.wrong_body_share, 0, 1);
    in.number("hang_share", out.hang_share, 0, 1);
    in.number("max_rate", out.max_rate, -1, std::numeric_limits<std::int32_t>::max());
    in.flag("leaving", out.leaving);
    in.text("crash_text", out.crash_text);
    in.time("flap_period_ms", out.flap_period);
    in.flag("honest_health", out.honest_health);
    in.number("fixed_load", out.fixed_load, -1, std::numeric_limits<std::int32_t>::max());
    in.time("report_lag_ms", out.report_lag);
    const mode_error error = in.finish();
    if (!error.field.empty())
        return error;
    return out;
}

bool has_active_faults(const backend_mode& mode, time_point now)
{
    const bool any = mode.slow_share > 0 || mode.error_share > 0 || mode.truncate_share > 0 ||
                     mode.wrong_length_share > 0 || mode.wrong_body_share > 0 ||
                     mode.hang_share > 0;
    if (!any || mode.flap_period <= duration::zero())
        return any;
    return now.time_since_epoch() % mode.flap_period < mode.flap_period / 2;
}

// Draws every share for each request, even while flapping disables the faults, so that the draws
// for a given seed do not depend on the time.
request_faults draw_faults(const backend_mode& mode, time_point now, std::mt19937_64& random)
{
    request_faults out;
    if (draw_bool(mode.slow_share, random))
        out.slow_factor = mode.slow_factor;
    out.error = draw_bool(mode.error_share, random);
    out.truncate = draw_bool(mode.truncate_share, random);
    out.wrong_length = draw_bool(mode.wrong_length_share, random);
    out.wrong_body = draw_bool(mode.wrong_body_share, random);
    out.hang = draw_bool(mode.hang_share, random);
    return has_active_faults(mode, now) ? out : request_faults{};
}

} // namespace jasminebank
