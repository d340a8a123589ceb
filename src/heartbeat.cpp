#include "heartbeat.h"

#include "digest.h"
#include "foreign_document.h"
#include "member_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jasminebank {

using json = nlohmann::json;

// Length of the truncated keyed digest at the start of a datagram.
constexpr std::size_t mac_bytes = 16;
constexpr std::size_t max_suspects = 32;

static std::string truncated_mac(std::string_view body, std::string_view fleet_key)
{
    const digest full = keyed_digest(fleet_key, body);
    return {full.bytes.begin(), full.bytes.begin() + mac_bytes};
}

static json to_json(const record_stamp& it)
{
    return json::array({it.vm.value, it.run.value, it.version});
}

static record_stamp stamp_from(const json& in)
{
    return {.vm = vm_id{unsigned_from<std::uint64_t>(in.at(0))},
            .run = incarnation{unsigned_from<std::uint64_t>(in.at(1))},
            .version = unsigned_from<std::uint64_t>(in.at(2))};
}

static json to_json(const evacuation_state& it)
{
    return json::array({it.stamp.era, it.stamp.revision, it.domains});
}

// The bounds of `check_domain_names` hold for what other nodes send, too.
static evacuation_state evacuations_from(const json& in)
{
    return {.stamp = {.era = unsigned_from<std::uint64_t>(in.at(0)),
                      .revision = unsigned_from<std::uint64_t>(in.at(1))},
            .domains = check_domain_names(in.at(2).get<std::vector<std::string>>(), {}).accepted};
}

std::string encode_heartbeat(const heartbeat& it, std::string_view fleet_key)
{
    json suspects = json::array();
    for (const record_stamp& suspect : it.suspects)
        suspects.push_back(to_json(suspect));
    json age = nullptr;
    if (it.store_age)
        age = std::chrono::ceil<std::chrono::milliseconds>(*it.store_age).count();
    json out =
        json::array({static_cast<unsigned>(it.kind), it.sequence, it.name, it.sender.run.value,
                     it.sender.version, it.target.host, it.target.port, it.directory_digest,
                     it.generation, std::move(age), std::move(suspects), json::binary([&] {
                         const std::string records = encode_members(it.records);
                         return std::vector<std::uint8_t>(records.begin(), records.end());
                     }())});
    if (it.evacuations)
        out.push_back(to_json(*it.evacuations));
    const std::vector<std::uint8_t> bytes = json::to_cbor(out);
    const std::string body(bytes.begin(), bytes.end());
    return truncated_mac(body, fleet_key) + body;
}

// Throws json::exception on a missing element or a wrong type; decode_heartbeat catches it.
static heartbeat heartbeat_from(const json& in)
{
    heartbeat out;
    out.kind = static_cast<heartbeat_kind>(std::min(unsigned_from<unsigned>(in.at(0)), 3U));
    out.sequence = unsigned_from<std::uint64_t>(in.at(1));
    out.name = in.at(2).get<std::string>();
    out.sender = {.vm = id_of<vm_id>(out.name),
                  .run = incarnation{unsigned_from<std::uint64_t>(in.at(3))},
                  .version = unsigned_from<std::uint64_t>(in.at(4))};
    out.target = {.host = in.at(5).get<std::string>(),
                  .port = unsigned_from<std::uint16_t>(in.at(6))};
    out.directory_digest = unsigned_from<std::uint64_t>(in.at(7));
    out.generation = unsigned_from<std::uint64_t>(in.at(8));
    if (!in.at(9).is_null())
        out.store_age = std::chrono::milliseconds(unsigned_from<std::uint32_t>(in.at(9)));
    for (const json& it : in.at(10)) {
        if (out.suspects.size() < max_suspects)
            out.suspects.push_back(stamp_from(it));
    }
    const auto& records = in.at(11).get_binary();
    out.records = decode_members({reinterpret_cast<const char*>(records.data()), records.size()})
                      .value_or(std::vector<member_record>{});
    constexpr std::size_t evacuations_element = 12;
    if (in.size() > evacuations_element)
        out.evacuations = evacuations_from(in.at(evacuations_element));
    return out;
}

std::optional<heartbeat> decode_heartbeat(std::string_view bytes, std::string_view fleet_key)
{
    if (bytes.size() <= mac_bytes || bytes.size() > max_heartbeat_bytes)
        return std::nullopt;
    const std::string_view body = bytes.substr(mac_bytes);
    digest received;
    digest expected;
    const std::string mac = truncated_mac(body, fleet_key);
    std::copy_n(bytes.begin(), mac_bytes, received.bytes.begin());
    std::copy_n(mac.begin(), mac_bytes, expected.bytes.begin());
    if (!same_digest(received, expected))
        return std::nullopt;
    const json in = parse_cbor(body);
    try {
        return heartbeat_from(in);
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace jasminebank
