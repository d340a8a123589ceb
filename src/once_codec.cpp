#include "once_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <vector>

namespace jasminebank {

namespace {

using json = nlohmann::json;

// Also bounds the depth of nested arrays, which the decoder walks by recursion.
constexpr std::size_t max_bytes = 256;
constexpr std::uint64_t max_status = 999;
constexpr std::uint64_t max_unix_milliseconds = 1ULL << 48U; // what a UUID can carry

json::binary_t binary_of(const digest& it)
{
    return json::binary_t({it.bytes.begin(), it.bytes.end()});
}

// Kind, then the fields that both messages share.
json start_of(std::uint64_t kind, const once_key& key, std::uint64_t fingerprint,
              const once_attempt& attempt, std::uint64_t epoch)
{
    return json::array({kind, key.organisation.value, binary_of(key.text), fingerprint,
                        attempt.vm.value, attempt.run.value, attempt.number, epoch});
}

json to_json(const once_claim& it)
{
    json out = start_of(0, it.key, it.fingerprint, it.attempt, it.epoch);
    if (it.made)
        out.push_back(static_cast<std::uint64_t>(it.made->time_since_epoch().count()));
    return out;
}

json to_json(const once_settlement& it)
{
    json out = start_of(1, it.key, it.fingerprint, it.attempt, it.epoch);
    out.push_back(static_cast<unsigned>(it.outcome));
    out.push_back(static_cast<unsigned>(it.status));
    return out;
}

// The value that an answer carries; 0 for those without one.
struct answer_value {
    std::uint64_t operator()(const once_granted& it) const { return it.epoch; }
    std::uint64_t operator()(const once_running&) const { return 0; }
    std::uint64_t operator()(const once_done& it) const
    {
        return static_cast<std::uint64_t>(it.status);
    }
    std::uint64_t operator()(const once_unknown&) const { return 0; }
    std::uint64_t operator()(const once_refused& it) const
    {
        return static_cast<std::uint64_t>(it.reason);
    }
};

std::string bytes_of(const json& it)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(it);
    return {bytes.begin(), bytes.end()};
}

// An array, or nothing. The decoder throws on announced sizes that no memory could hold, even when
// it is told not to.
std::optional<json> parse(std::string_view text)
{
    if (text.size() > max_bytes)
        return std::nullopt;
    try {
        json out = json::from_cbor(text.begin(), text.end(), true, false);
        return out.is_array() ? std::optional(std::move(out)) : std::nullopt;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

// Fields of one message in turn; any that is absent or out of range makes the whole bad.
class field_source {
public:
    explicit field_source(const json& in) : in_(in) {}

    std::uint64_t next(std::uint64_t most = std::numeric_limits<std::uint64_t>::max())
    {
        if (at_ >= in_.size() || !in_[at_].is_number_unsigned()) {
            is_bad_ = true;
            return 0;
        }
        const auto value = in_[at_++].get<std::uint64_t>();
        is_bad_ = is_bad_ || value > most;
        return is_bad_ ? 0 : value;
    }
    digest next_digest()
    {
        digest out;
        if (at_ >= in_.size() || !in_[at_].is_binary() ||
            in_[at_].get_binary().size() != digest_bytes) {
            is_bad_ = true;
            return out;
        }
        const auto& bytes = in_[at_++].get_binary();
        std::copy(bytes.begin(), bytes.end(), out.bytes.begin());
        return out;
    }
    bool has_more() const { return at_ < in_.size(); }
    bool is_good() const { return !is_bad_ && !has_more(); }

private:
    const json& in_;
    std::size_t at_ = 0;
    bool is_bad_ = false;
};

// Braced initialisers are evaluated in order, so the fields are read in the order of the message.
once_claim read_claim(field_source& in)
{
    once_claim out{
        .key = {.organisation = {in.next()}, .text = in.next_digest()},
        .fingerprint = in.next(),
        .made = std::nullopt,
        .attempt = {.vm = {in.next()}, .run = {in.next()}, .number = in.next()},
        .epoch = in.next(),
    };
    if (in.has_more())
        out.made = wall_time(std::chrono::milliseconds(in.next(max_unix_milliseconds)));
    return out;
}

once_settlement read_settlement(field_source& in)
{
    constexpr auto last = static_cast<std::uint64_t>(once_outcome::unknown);
    return {
        .key = {.organisation = {in.next()}, .text = in.next_digest()},
        .fingerprint = in.next(),
        .attempt = {.vm = {in.next()}, .run = {in.next()}, .number = in.next()},
        .epoch = in.next(),
        .outcome = static_cast<once_outcome>(in.next(last)),
        .status = static_cast<int>(in.next(max_status)),
    };
}

once_answer read_answer(std::uint64_t kind, field_source& in)
{
    constexpr auto last_refusal = static_cast<std::uint64_t>(once_refusal::stale);
    if (kind == 0)
        return once_granted{in.next()};
    if (kind == 2)
        return once_done{static_cast<int>(in.next(max_status))};
    if (kind == 4)
        return once_refused{static_cast<once_refusal>(in.next(last_refusal))};
    in.next(0);
    return kind == 1 ? once_answer(once_running{}) : once_answer(once_unknown{});
}

} // namespace

std::string encode_once(const once_request& it)
{
    return bytes_of(std::visit([](const auto& message) { return to_json(message); }, it));
}

std::string encode_once(const once_answer& it)
{
    const std::uint64_t kind = it.index();
    return bytes_of(json::array({kind, std::visit(answer_value{}, it)}));
}

std::optional<once_request> decode_once_request(std::string_view text)
{
    const auto parsed = parse(text);
    if (!parsed)
        return std::nullopt;
    field_source in(*parsed);
    once_request out;
    if (in.next(std::variant_size_v<once_request> - 1) == 0)
        out = read_claim(in);
    else
        out = read_settlement(in);
    return in.is_good() ? std::optional(out) : std::nullopt;
}

std::optional<once_answer> decode_once_answer(std::string_view text)
{
    const auto parsed = parse(text);
    if (!parsed)
        return std::nullopt;
    field_source in(*parsed);
    const std::uint64_t kind = in.next(std::variant_size_v<once_answer> - 1);
    const once_answer out = read_answer(kind, in);
    return in.is_good() ? std::optional(out) : std::nullopt;
}

} // namespace jasminebank
