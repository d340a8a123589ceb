#include "poison_codec.h"

#include "foreign_document.h"

#include <nlohmann/json.hpp>

namespace jasminebank {

using json = nlohmann::json;

constexpr duration max_remaining = std::chrono::hours(1);

std::string encode_victims(const std::vector<poison_victim>& victims)
{
    json out = json::array();
    for (const poison_victim& it : victims) {
        out.push_back(json::array({it.fingerprint.high, it.fingerprint.low, it.server.value,
                                   it.run.value, it.remaining.count()}));
    }
    const std::vector<std::uint8_t> bytes = json::to_cbor(out);
    return {bytes.begin(), bytes.end()};
}

// Throws json::exception if an element is missing or has the wrong type.
static poison_victim victim_from(const json& in)
{
    return {.fingerprint = {.high = unsigned_from<std::uint64_t>(in.at(0)),
                            .low = unsigned_from<std::uint64_t>(in.at(1))},
            .server = backend_server_id{unsigned_from<std::uint64_t>(in.at(2))},
            .run = incarnation{unsigned_from<std::uint64_t>(in.at(3))},
            .remaining = duration(integer_from(in.at(4)))};
}

std::optional<std::vector<poison_victim>> decode_victims(std::string_view text)
{
    const json in = parse_cbor(text);
    if (!in.is_array())
        return std::nullopt;
    std::vector<poison_victim> out;
    try {
        for (const json& it : in)
            out.push_back(victim_from(it));
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
    for (const poison_victim& it : out) {
        if (it.remaining < duration::zero() || it.remaining > max_remaining)
            return std::nullopt;
    }
    return out;
}

} // namespace jasminebank
