#include "member_codec.h"

#include <nlohmann/json.hpp>

namespace jasminebank {

using json = nlohmann::json;

// Records are arrays, not objects: field names would be most of the bytes.
static json to_json(const server_record& it)
{
    return json::array({it.service.value, it.address.host, it.address.port, it.slots, it.draining,
                        static_cast<unsigned>(it.standing)});
}

static json to_json(const member_record& it)
{
    json servers = json::array();
    for (const server_record& server : it.servers)
        servers.push_back(to_json(server));
    return json::array({it.name, it.run.value, it.version, it.link.host, it.link.port,
                        it.domain.value, it.leaving, std::move(servers)});
}

std::string encode_members(std::span<const member_record> members)
{
    json out = json::array();
    for (const member_record& it : members)
        out.push_back(to_json(it));
    const std::vector<std::uint8_t> bytes = json::to_cbor(out);
    return {bytes.begin(), bytes.end()};
}

// Throws nlohmann's exceptions on a wrong type or place; decode_members turns them.
static server_record server_from(const json& in)
{
    server_record out;
    out.service = service_id{in.at(0).get<std::uint64_t>()};
    out.address = {.host = in.at(1).get<std::string>(), .port = in.at(2).get<std::uint16_t>()};
    out.id = id_of<backend_server_id>(to_string(out.address));
    out.slots = in.at(3).get<std::uint32_t>();
    out.draining = in.at(4).get<bool>();
    const auto standing = in.at(5).get<unsigned>();
    if (standing <= static_cast<unsigned>(server_standing::on_trial))
        out.standing = static_cast<server_standing>(standing);
    return out;
}

static member_record member_from(const json& in)
{
    member_record out;
    out.name = in.at(0).get<std::string>();
    out.vm = id_of<vm_id>(out.name);
    out.run = incarnation{in.at(1).get<std::uint64_t>()};
    out.version = in.at(2).get<std::uint64_t>();
    out.link = {.host = in.at(3).get<std::string>(), .port = in.at(4).get<std::uint16_t>()};
    out.domain = failure_domain_id{in.at(5).get<std::uint64_t>()};
    out.leaving = in.at(6).get<bool>();
    for (const json& server : in.at(7))
        out.servers.push_back(server_from(server));
    return out;
}

std::optional<std::vector<member_record>> decode_members(std::string_view text)
{
    const json in = json::from_cbor(text.begin(), text.end(), true, false);
    if (!in.is_array())
        return std::nullopt;
    std::vector<member_record> out;
    try {
        for (const json& it : in)
            out.push_back(member_from(it));
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
    return out;
}

} // namespace jasminebank
