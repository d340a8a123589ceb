#include "server_notice.h"

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

} // namespace jasminebank
