#include "mandate_codec.h"

#include <nlohmann/json.hpp>

namespace jasminebank {

namespace {

using json = nlohmann::json;

constexpr std::size_t most_past = 64;
constexpr std::uint64_t longest_mandate_ms = 3'600'000;

struct bad_number {};

json to_json(const past_mandate& it)
{
    return {{"vm", it.holder.vm.value},
            {"run", it.holder.run.value},
            {"epoch", it.epoch},
            {"reserve_share", it.reserve_share}};
}

// Throws bad_number when the member is absent, no whole number, or above `most`.
std::uint64_t number_at(const json& in, const char* name, std::uint64_t most = UINT64_MAX)
{
    const auto it = in.find(name);
    if (it == in.end() || !it->is_number_unsigned() || it->get<std::uint64_t>() > most)
        throw bad_number{};
    return it->get<std::uint64_t>();
}

past_mandate past_from(const json& in)
{
    if (!in.is_object())
        throw bad_number{};
    return {.holder = {.vm = {number_at(in, "vm")}, .run = {number_at(in, "run")}},
            .epoch = number_at(in, "epoch"),
            .reserve_share =
                static_cast<std::uint32_t>(number_at(in, "reserve_share", whole_share))};
}

mandate_record record_from(const json& in)
{
    const past_mandate own = past_from(in);
    mandate_record out;
    out.holder = own.holder;
    out.epoch = own.epoch;
    out.reserve_share = own.reserve_share;
    out.renewal = number_at(in, "renewal");
    out.lasts = std::chrono::milliseconds(number_at(in, "lasts_ms", longest_mandate_ms));
    out.is_released = number_at(in, "released", 1) == 1;
    const auto unproven = in.find("unproven");
    if (unproven == in.end() || !unproven->is_array() || unproven->size() > most_past)
        throw bad_number{};
    for (const json& it : *unproven)
        out.unproven.push_back(past_from(it));
    return out;
}

template <class Read>
auto read_object(std::string_view text, Read read) -> std::optional<decltype(read(json()))>
{
    const json in = json::parse(text, nullptr, false);
    if (!in.is_object())
        return std::nullopt;
    try {
        return read(in);
    }
    catch (const bad_number&) {
        return std::nullopt;
    }
}

} // namespace

std::string encode_mandate(const mandate_record& it)
{
    json out = to_json(
        past_mandate{.holder = it.holder, .epoch = it.epoch, .reserve_share = it.reserve_share});
    out["renewal"] = it.renewal;
    out["lasts_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(it.lasts).count();
    out["released"] = it.is_released ? 1 : 0;
    out["unproven"] = json::array();
    for (const past_mandate& past : it.unproven)
        out["unproven"].push_back(to_json(past));
    return out.dump();
}

std::optional<mandate_record> decode_mandate(std::string_view text)
{
    return read_object(text, record_from);
}

std::string encode_retirement(const retirement& it)
{
    json out = to_json(it.past);
    out["shard"] = it.shard;
    return out.dump();
}

std::optional<retirement> decode_retirement(std::string_view text)
{
    return read_object(text, [](const json& in) {
        return retirement{.shard = static_cast<std::uint32_t>(number_at(in, "shard", UINT32_MAX)),
                          .past = past_from(in)};
    });
}

} // namespace jasminebank
