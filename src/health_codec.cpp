#include "health_codec.h"

#include "foreign_document.h"
#include "member_codec.h"

#include <nlohmann/json.hpp>

namespace jasminebank {

using json = nlohmann::json;

static std::string to_cbor_text(const json& it)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(it);
    return {bytes.begin(), bytes.end()};
}

static std::uint64_t number(const json& in, std::size_t place)
{
    return unsigned_from<std::uint64_t>(in.at(place));
}

std::string encode_health_query(const peer_query& it)
{
    return to_cbor_text(
        json::array({it.service.value, it.query_id, it.span.since.count(), it.span.until.count()}));
}

std::optional<peer_query> decode_health_query(std::string_view text)
{
    const json in = parse_cbor(text);
    try {
        return peer_query{.service = service_id{number(in, 0)},
                          .query_id = number(in, 1),
                          .span = {.since = duration(integer_from(in.at(2))),
                                   .until = duration(integer_from(in.at(3)))}};
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode_service_health(const service_health& it)
{
    const peer_statistics& f = it.reference;
    member_record carrier;
    carrier.servers = it.servers;
    const std::string servers = encode_members({&carrier, 1});
    return to_cbor_text(json::array(
        {f.service.value, f.gate.value, f.log_median, f.log_scale, f.error_share, f.samples,
         f.query_id, f.recent_requests, f.recent_slow, f.recent_errors, f.slow_evidence,
         f.error_evidence, it.gate_run.value, json::binary({servers.begin(), servers.end()})}));
}

// Throws json::exception if an element is missing or has the wrong type.
static peer_statistics reference_from(const json& in)
{
    return {.service = service_id{number(in, 0)},
            .gate = vm_id{number(in, 1)},
            .log_median = finite_from(in.at(2)),
            .log_scale = finite_from(in.at(3)),
            .error_share = finite_from(in.at(4)),
            .samples = number(in, 5),
            .query_id = number(in, 6),
            .recent_requests = unsigned_from<std::uint32_t>(in.at(7)),
            .recent_slow = unsigned_from<std::uint32_t>(in.at(8)),
            .recent_errors = unsigned_from<std::uint32_t>(in.at(9)),
            .slow_evidence = finite_from(in.at(10)),
            .error_evidence = finite_from(in.at(11))};
}

std::optional<service_health> decode_service_health(std::string_view text)
{
    const json in = parse_cbor(text);
    try {
        service_health out{.reference = reference_from(in),
                           .gate_run = incarnation{number(in, 12)},
                           .servers = {}};
        const auto& bytes = in.at(13).get_binary();
        auto carrier = decode_members({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
        if (!carrier || carrier->size() != 1)
            return std::nullopt;
        out.servers = std::move(carrier->front().servers);
        return out;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode_ejection_record(const ejection_record& it)
{
    json ejected = json::array();
    for (const ejection& e : it.ejected) {
        ejected.push_back(json::array({e.server.value, e.gate.value, e.gate_incarnation.value,
                                       e.slots, e.severity, e.renewal}));
    }
    json reserved = json::array();
    for (const ejection_reservation& r : it.reserved)
        reserved.push_back(
            json::array({r.gate.value, r.gate_incarnation.value, r.slots, r.renewal}));
    const json out{{"service", it.service.value},
                   {"version", it.version},
                   {"ejected", std::move(ejected)},
                   {"reserved", std::move(reserved)}};
    return out.dump();
}

static ejection ejection_from(const json& in)
{
    return {.server = backend_server_id{number(in, 0)},
            .gate = vm_id{number(in, 1)},
            .gate_incarnation = incarnation{number(in, 2)},
            .slots = unsigned_from<std::uint32_t>(in.at(3)),
            .severity = unsigned_from<std::uint32_t>(in.at(4)),
            .renewal = number(in, 5)};
}

static ejection_reservation reservation_from(const json& in)
{
    return {.gate = vm_id{number(in, 0)},
            .gate_incarnation = incarnation{number(in, 1)},
            .slots = unsigned_from<std::uint32_t>(in.at(2)),
            .renewal = number(in, 3)};
}

std::optional<ejection_record> decode_ejection_record(std::string_view text)
{
    const json in = parse_json(text);
    try {
        ejection_record out{.service = service_id{unsigned_from<std::uint64_t>(in.at("service"))},
                            .version = unsigned_from<std::uint64_t>(in.at("version")),
                            .ejected = {},
                            .reserved = {}};
        for (const json& it : in.at("ejected"))
            out.ejected.push_back(ejection_from(it));
        for (const json& it : in.at("reserved"))
            out.reserved.push_back(reservation_from(it));
        return out;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace jasminebank
