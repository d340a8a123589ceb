#include "recall_codec.h"

#include "foreign_document.h"
#include "poison_codec.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace jasminebank {

using json = nlohmann::json;

static json to_binary(const std::string& it)
{
    return json::binary(std::vector<std::uint8_t>(it.begin(), it.end()));
}

// Throws json::exception if the element is missing or has the wrong type.
static std::string binary_at(const json& in, std::size_t index)
{
    const auto& out = in.at(index).get_binary();
    return {out.begin(), out.end()};
}

std::string encode_recalled(const recalled_facts& it)
{
    const std::vector<std::uint8_t> out = json::to_cbor(json::array(
        {to_binary(encode_withdrawals(it.withdrawn)), to_binary(encode_victims(it.victims))}));
    return {out.begin(), out.end()};
}

std::optional<recalled_facts> decode_recalled(std::string_view bytes)
{
    const json in = parse_cbor(bytes);
    try {
        auto withdrawn = decode_withdrawals(binary_at(in, 0));
        auto victims = decode_victims(binary_at(in, 1));
        if (!withdrawn || !victims)
            return std::nullopt;
        return recalled_facts{.withdrawn = *std::move(withdrawn), .victims = *std::move(victims)};
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace jasminebank
