#include "limit_lease_codec.h"

#include "foreign_document.h"

#include <nlohmann/json.hpp>

namespace jasminebank {

namespace {

using json = nlohmann::json;

constexpr std::size_t max_past_leases = 64;
constexpr std::uint64_t max_ttl_ms = 3'600'000;

struct invalid_field {};

json to_json(const past_lease& it)
{
    return {{"vm", it.holder.vm.value},
            {"run", it.holder.run.value},
            {"epoch", it.epoch},
            {"reserve_share", it.reserve_share}};
}

// Throws invalid_field if the member is absent, not an unsigned integer, or above `max`.
std::uint64_t number_at(const json& in, const char* name, std::uint64_t max = UINT64_MAX)
{
    const auto it = in.find(name);
    if (it == in.end() || !it->is_number_unsigned() || it->get<std::uint64_t>() > max)
        throw invalid_field{};
    return it->get<std::uint64_t>();
}

past_lease past_lease_from(const json& in)
{
    if (!in.is_object())
        throw invalid_field{};
    return {.holder = {.vm = {number_at(in, "vm")}, .run = {number_at(in, "run")}},
            .epoch = number_at(in, "epoch"),
            .reserve_share =
                static_cast<std::uint32_t>(number_at(in, "reserve_share", whole_share))};
}

lease_record lease_record_from(const json& in)
{
    const past_lease own = past_lease_from(in);
    lease_record out;
    out.holder = own.holder;
    out.epoch = own.epoch;
    out.reserve_share = own.reserve_share;
    out.renewal = number_at(in, "renewal");
    out.ttl = std::chrono::milliseconds(number_at(in, "lasts_ms", max_ttl_ms));
    out.is_released = number_at(in, "released", 1) == 1;
    const auto possibly_active = in.find("unproven");
    if (possibly_active == in.end() || !possibly_active->is_array() ||
        possibly_active->size() > max_past_leases)
        throw invalid_field{};
    for (const json& it : *possibly_active)
        out.possibly_active.push_back(past_lease_from(it));
    return out;
}

template <class Read>
auto read_object(std::string_view text, Read read) -> std::optional<decltype(read(json()))>
{
    const json in = parse_json(text);
    if (!in.is_object())
        return std::nullopt;
    try {
        return read(in);
    }
    catch (const invalid_field&) {
        return std::nullopt;
    }
}

} // namespace

std::string encode_lease_record(const lease_record& it)
{
    json out = to_json(
        past_lease{.holder = it.holder, .epoch = it.epoch, .reserve_share = it.reserve_share});
    out["renewal"] = it.renewal;
    out["lasts_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(it.ttl).count();
    out["released"] = it.is_released ? 1 : 0;
    out["unproven"] = json::array();
    for (const past_lease& past : it.possibly_active)
        out["unproven"].push_back(to_json(past));
    return out.dump();
}

std::optional<lease_record> decode_lease_record(std::string_view text)
{
    return read_object(text, lease_record_from);
}

std::string encode_stop_notice(const shard_stop_notice& it)
{
    json out = to_json(it.past);
    out["shard"] = it.shard;
    return out.dump();
}

std::optional<shard_stop_notice> decode_stop_notice(std::string_view text)
{
    return read_object(text, [](const json& in) {
        return shard_stop_notice{.shard =
                                     static_cast<std::uint32_t>(number_at(in, "shard", UINT32_MAX)),
                                 .past = past_lease_from(in)};
    });
}

} // namespace jasminebank
