#include "announcement.h"

#include "foreign_document.h"

#include <nlohmann/json.hpp>

namespace jasminebank {

constexpr std::uint32_t max_slots = 10'000;
constexpr std::size_t max_service_name_bytes = 64;
constexpr double max_warm_up_s = 600;

using json = nlohmann::json;

// Converts an announcement whose fields have been validated.
static announcement to_announcement(const json& in, const std::string& service,
                                    const endpoint& address)
{
    announcement out;
    out.server.id = id_of<backend_server_id>(to_string(address));
    out.server.service = id_of<service_id>(service);
    out.server.address = address;
    out.server.slots = in["slots"].get<std::uint32_t>();
    out.server.draining = in.value("draining", false);
    out.run = incarnation{in.value("incarnation", std::uint64_t{0})};
    out.load = in.value("load", 0.0);
    out.service_name = service;
    out.warm_up = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(in.value("warm_up_s", 0.0)));
    return out;
}

template <class Check>
static bool is_valid_field(const json& in, const char* name, Check check, bool required)
{
    const auto it = in.find(name);
    return it == in.end() ? !required : check(*it);
}

result<announcement, announcement_error> parse_announcement(std::string_view text)
{
    const json in = parse_json(text);
    if (!in.is_object())
        return announcement_error{"body", "a JSON object"};
    const auto is_text = [](const json& it) { return it.is_string(); };
    const auto is_flag = [](const json& it) { return it.is_boolean(); };
    const auto is_count = [](const json& it) { return it.is_number_unsigned(); };
    const auto is_slots = [](const json& it) {
        return it.is_number_unsigned() && it.get<std::uint64_t>() >= 1 &&
               it.get<std::uint64_t>() <= max_slots;
    };
    const auto is_load = [](const json& it) { return it.is_number() && it.get<double>() >= 0; };
    if (!is_valid_field(in, "service", is_text, true))
        return announcement_error{"service", "the name of a service, as text"};
    if (!is_valid_field(in, "address", is_text, true))
        return announcement_error{"address",
                                  "an IPv4 address and port, as text such as 127.0.0.1:8080"};
    if (!is_valid_field(in, "slots", is_slots, true))
        return announcement_error{"slots", "a whole number from 1 to 10000"};
    if (!is_valid_field(in, "draining", is_flag, false))
        return announcement_error{"draining", "true or false"};
    if (!is_valid_field(in, "incarnation", is_count, false))
        return announcement_error{"incarnation", "a whole number from 0"};
    if (!is_valid_field(in, "load", is_load, false))
        return announcement_error{"load", "a number of at least 0"};
    const auto is_warm_up = [](const json& it) {
        return it.is_number() && it.get<double>() >= 0 && it.get<double>() <= max_warm_up_s;
    };
    if (!is_valid_field(in, "warm_up_s", is_warm_up, false))
        return announcement_error{"warm_up_s", "a number of seconds from 0 to 600"};
    const auto address = parse_endpoint(in["address"].get<std::string>());
    const auto service = in["service"].get<std::string>();
    if (!address || address->port == 0)
        return announcement_error{"address", "an IPv4 address and a port from 1 to 65535"};
    if (service.empty() || service.size() > max_service_name_bytes)
        return announcement_error{"service", "a name of 1 to 64 bytes"};
    return to_announcement(in, service, *address);
}

} // namespace jasminebank
