#include "member_codec.h"

#include "foreign_document.h"
#include "log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jasminebank {

using json = nlohmann::json;

constexpr std::size_t shards_index = 8; // in a record's array; absent if no shard is held
constexpr std::size_t max_shards = 64;
constexpr std::size_t withdrawn_index = 9;  // absent if no server has withdrawn
constexpr std::size_t link_rate_index = 10; // absent if unknown
// Those that withdrew last are enough for peers, and a record must fit into a datagram.
constexpr std::size_t max_withdrawn = 4;

// Records are arrays, not objects: field names would take most of the bytes.
static json to_json(const server_record& it)
{
    return json::array({it.service.value, it.address.host, it.address.port, it.slots, it.draining,
                        static_cast<unsigned>(it.standing)});
}

static json shards_to_json(const std::vector<held_shard>& shards)
{
    json out = json::array();
    for (const held_shard& it : shards) {
        out.push_back(it.shard);
        out.push_back(it.epoch);
    }
    return out;
}

static json withdrawn_to_json(const std::vector<server_withdrawal>& withdrawn)
{
    json out = json::array();
    for (std::size_t n = withdrawn.size() - std::min(withdrawn.size(), max_withdrawn);
         n < withdrawn.size(); ++n) {
        out.push_back(withdrawn[n].server.value);
        out.push_back(withdrawn[n].run.value);
    }
    return out;
}

static json to_json(const member_record& it)
{
    json servers = json::array();
    for (const server_record& server : it.servers)
        servers.push_back(to_json(server));
    json out = json::array({it.name, it.run.value, it.version, it.link.host, it.link.port,
                            it.domain.value, it.leaving, std::move(servers)});
    if (!it.shards.empty() || !it.withdrawn.empty() || it.link_rate != 0)
        out.push_back(shards_to_json(it.shards));
    if (!it.withdrawn.empty() || it.link_rate != 0)
        out.push_back(withdrawn_to_json(it.withdrawn));
    if (it.link_rate != 0)
        out.push_back(it.link_rate);
    return out;
}

static json to_json(std::span<const member_record> members)
{
    json out = json::array();
    for (const member_record& it : members)
        out.push_back(to_json(it));
    return out;
}

static std::string to_cbor_text(const json& it)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(it);
    return {bytes.begin(), bytes.end()};
}

std::string encode_members(std::span<const member_record> members)
{
    return to_cbor_text(to_json(members));
}

// The following throw json::exception on a missing element, a wrong type or a number out of range.

static endpoint endpoint_from(const json& host, const json& port)
{
    return {.host = host.get<std::string>(), .port = unsigned_from<std::uint16_t>(port)};
}

static server_record server_from(const json& in)
{
    server_record out;
    out.service = service_id{unsigned_from<std::uint64_t>(in.at(0))};
    out.address = endpoint_from(in.at(1), in.at(2));
    out.id = id_of<backend_server_id>(to_string(out.address));
    out.slots = unsigned_from<std::uint32_t>(in.at(3));
    out.draining = in.at(4).get<bool>();
    const auto standing = unsigned_from<unsigned>(in.at(5));
    if (standing <= static_cast<unsigned>(server_standing::on_trial))
        out.standing = static_cast<server_standing>(standing);
    return out;
}

static std::vector<held_shard> shards_from(const json& in)
{
    std::vector<held_shard> out;
    for (std::size_t n = 0; n + 1 < in.size() && out.size() < max_shards; n += 2) {
        out.push_back({.shard = unsigned_from<std::uint32_t>(in.at(n)),
                       .epoch = unsigned_from<std::uint64_t>(in.at(n + 1))});
    }
    return out;
}

static std::vector<server_withdrawal> withdrawn_from(const json& in)
{
    std::vector<server_withdrawal> out;
    for (std::size_t n = 0; n + 1 < in.size() && out.size() < max_withdrawn; n += 2) {
        out.push_back({.server = {unsigned_from<std::uint64_t>(in.at(n))},
                       .run = {unsigned_from<std::uint64_t>(in.at(n + 1))}});
    }
    return out;
}

static member_record member_from(const json& in)
{
    member_record out;
    out.name = in.at(0).get<std::string>();
    out.vm = id_of<vm_id>(out.name);
    out.run = incarnation{unsigned_from<std::uint64_t>(in.at(1))};
    out.version = unsigned_from<std::uint64_t>(in.at(2));
    out.link = endpoint_from(in.at(3), in.at(4));
    out.domain = failure_domain_id{unsigned_from<std::uint64_t>(in.at(5))};
    out.leaving = in.at(6).get<bool>();
    for (const json& server : in.at(7))
        out.servers.push_back(server_from(server));
    if (in.size() > shards_index)
        out.shards = shards_from(in.at(shards_index));
    if (in.size() > withdrawn_index)
        out.withdrawn = withdrawn_from(in.at(withdrawn_index));
    if (in.size() > link_rate_index)
        out.link_rate = unsigned_from<std::uint32_t>(in.at(link_rate_index));
    return out;
}

// A record that cannot be read is left out; the others hold.
static std::vector<member_record> members_from(const json& in)
{
    std::vector<member_record> out;
    for (const json& it : in) {
        try {
            out.push_back(member_from(it));
        }
        catch (const json::exception& error) {
            log_event(event::member_unreadable, "cause=\"{}\"", error.what());
        }
    }
    return out;
}

std::optional<std::vector<member_record>> decode_members(std::string_view text)
{
    const json in = parse_cbor(text);
    if (!in.is_array())
        return std::nullopt;
    try {
        return members_from(in);
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode_exchange(const member_exchange& it)
{
    json known = json::array();
    for (const record_stamp& stamp : it.known)
        known.push_back(json::array({stamp.vm.value, stamp.run.value, stamp.version}));
    json wanted = json::array();
    for (const vm_id vm : it.wanted)
        wanted.push_back(vm.value);
    return to_cbor_text(json::array({std::move(known), to_json(it.records), std::move(wanted)}));
}

std::optional<member_exchange> decode_exchange(std::string_view text)
{
    const json in = parse_cbor(text);
    member_exchange out;
    try {
        for (const json& it : in.at(0)) {
            out.known.push_back({.vm = vm_id{unsigned_from<std::uint64_t>(it.at(0))},
                                 .run = incarnation{unsigned_from<std::uint64_t>(it.at(1))},
                                 .version = unsigned_from<std::uint64_t>(it.at(2))});
        }
        out.records = members_from(in.at(1));
        for (const json& it : in.at(2))
            out.wanted.push_back(vm_id{unsigned_from<std::uint64_t>(it)});
        return out;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

std::vector<record_stamp> known_stamps(const member_directory& directory)
{
    std::vector<record_stamp> out;
    out.reserve(directory.members().size());
    for (const member_record& it : directory.members())
        out.push_back(stamp_of(it));
    return out;
}

// The directory is sorted by node. The peer's list should be as well, but is searched linearly, so
// that an unsorted one yields a correct reply too.
member_exchange make_exchange_reply(const member_directory& directory,
                                    const member_exchange& request)
{
    member_exchange out;
    for (const vm_id vm : request.wanted) {
        if (const member_record* it = directory.find(vm))
            out.records.push_back(*it);
    }
    if (request.known.empty())
        return out;
    for (const record_stamp& theirs : request.known) {
        const member_record* ours = directory.find(theirs.vm);
        if (ours == nullptr || is_newer(theirs, stamp_of(*ours)))
            out.wanted.push_back(theirs.vm);
        else if (is_newer(stamp_of(*ours), theirs))
            out.records.push_back(*ours);
    }
    for (const member_record& it : directory.members()) {
        const bool known = std::any_of(request.known.begin(), request.known.end(),
                                       [&](const record_stamp& a) { return a.vm == it.vm; });
        if (!known)
            out.records.push_back(it);
    }
    return out;
}

} // namespace jasminebank
