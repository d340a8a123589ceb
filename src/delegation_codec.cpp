#include "delegation_codec.h"

#include "foreign_document.h"

namespace jasminebank {

using json = nlohmann::json;

std::string encode_delegation(const delegation& it)
{
    json out = json::array({it.group, it.share});
    if (it.stamp) {
        out.push_back(it.stamp->run.value);
        out.push_back(it.stamp->issued_ns);
    }
    return out.dump();
}

std::string encode_delegation_stamp(const delegation_stamp& it)
{
    return json::array({it.run.value, it.issued_ns}).dump();
}

static std::optional<delegation_stamp> stamp_at(const json& in, std::size_t index)
{
    try {
        return delegation_stamp{.run = {unsigned_from<std::uint64_t>(in.at(index))},
                                .issued_ns = integer_from(in.at(index + 1))};
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<delegation> decode_delegation(std::string_view text)
{
    const json in = parse_json(text);
    try {
        return delegation{.group = unsigned_from<std::uint32_t>(in.at(0)),
                          .share = unsigned_from<std::uint32_t>(in.at(1)),
                          .stamp = stamp_at(in, 2)};
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<delegation_stamp> decode_delegation_stamp(std::string_view text)
{
    return stamp_at(parse_json(text), 0);
}

} // namespace jasminebank
