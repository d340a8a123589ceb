#include "health_codec.h"

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
    return in.at(place).get<std::uint64_t>();
}

std::string encode_health_query(const peer_query& it)
{
    return to_cbor_text(
        json::array({it.service.value, it.query_id, it.span.since.count(), it.span.until.count()}));
}

std::optional<peer_query> decode_health_query(std::string_view text)
{
    const json in = json::from_cbor(text.begin(), text.end(), true, false);
    try {
        return peer_query{.service = service_id{number(in, 0)},
                          .query_id = number(in, 1),
                          .span = {.since = duration(in.at(2).get<duration::rep>()),
                                   .until = duration(in.at(3).get<duration::rep>())}};
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
            .log_median = in.at(2).get<double>(),
            .log_scale = in.at(3).get<double>(),
            .error_share = in.at(4).get<double>(),
            .samples = number(in, 5),
            .query_id = number(in, 6),
            .recent_requests = in.at(7).get<std::uint32_t>(),
            .recent_slow = in.at(8).get<std::uint32_t>(),
            .recent_errors = in.at(9).get<std::uint32_t>(),
            .slow_evidence = in.at(10).get<double>(),
            .error_evidence = in.at(11).get<double>()};
}

std::optional<service_health> decode_service_health(std::string_view text)
{
    const json in = json::from_cbor(text.begin(), text.end(), true, false);
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
            .slots = in.at(3).get<std::uint32_t>(),
            .severity = in.at(4).get<std::uint32_t>(),
            .renewal = number(in, 5)};
}

static ejection_reservation reservation_from(const json& in)
{
    return {.gate = vm_id{number(in, 0)},
            .gate_incarnation = incarnation{number(in, 1)},
            .slots = in.at(2).get<std::uint32_t>(),
            .renewal = number(in, 3)};
}

std::optional<ejection_record> decode_ejection_record(std::string_view text)
{
    const json in = json::parse(text, nullptr, false);
    try {
        ejection_record out{.service = service_id{in.at("service").get<std::uint64_t>()},
                            .version = in.at("version").get<std::uint64_t>(),
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
