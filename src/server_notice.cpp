#include "server_notice.h"

#include <fmt/format.h>

#include <charconv>
#include <cmath>

namespace jasminebank {

static std::optional<double> parse_rate(std::string_view text)
{
    double out = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    const bool is_valid = ec == std::errc{} && end == text.data() + text.size() &&
                          std::isfinite(out) && !std::signbit(out);
    return is_valid ? std::optional(out) : std::nullopt;
}

std::optional<server_notice> parse_notice(std::optional<std::string_view> max_rate,
                                          std::optional<std::string_view> leaving)
{
    server_notice out;
    if (leaving && *leaving != "1" && *leaving != "0")
        return std::nullopt;
    out.is_leaving = leaving == "1";
    if (!max_rate)
        return out;
    out.max_rate = parse_rate(*max_rate);
    return out.max_rate ? std::optional(out) : std::nullopt;
}

constexpr std::string_view no_rate = "-";

// "RUN LEAVING RATE", for example "18f3a 0 4.2"; the run in hexadecimal digits, "-" for no rate.
std::string encode_notice(const reported_notice& it)
{
    return fmt::format("{:x} {} {}", it.run.value, it.notice.is_leaving ? 1 : 0,
                       it.notice.max_rate ? fmt::format("{}", *it.notice.max_rate) : no_rate);
}

std::optional<reported_notice> decode_notice(std::string_view text)
{
    reported_notice out;
    const char* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, out.run.value, 16);
    if (ec != std::errc{} || last - end < 4 || end[0] != ' ' || end[2] != ' ')
        return std::nullopt;
    const std::string_view rate(end + 3, last);
    const auto notice = parse_notice(rate == no_rate ? std::nullopt : std::optional(rate),
                                     std::string_view(end + 1, 1));
    if (!notice)
        return std::nullopt;
    out.notice = *notice;
    return out;
}

} // namespace jasminebank
