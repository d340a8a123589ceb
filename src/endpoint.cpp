#include "endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace jasminebank {

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    endpoint out{.host = std::string(text.substr(0, colon))};
    const std::string_view port = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), out.port);
    in_addr address{};
    if (ec != std::errc{} || end != port.data() + port.size())
        return std::nullopt;
    if (inet_pton(AF_INET, out.host.c_str(), &address) != 1)
        return std::nullopt;
    return out;
}

std::string to_string(const endpoint& it)
{
    return fmt::format("{}:{}", it.host, it.port);
}

} // namespace jasminebank
