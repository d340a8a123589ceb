#include "once_codec.h"

#include "foreign_document.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <vector>

namespace jasminebank {

namespace {

using json = nlohmann::json;

// Limits the size of a message and thereby the nesting depth of its arrays, which the decoder
// visits by recursion.
constexpr std::size_t max_message_bytes = 512;
constexpr std::uint64_t max_status = 999;
constexpr std::uint64_t max_unix_milliseconds = 1ULL << 48U; // a UUIDv7 timestamp has 48 bits

json::binary_t binary_of(const digest& it)
{
    return json::binary_t({it.bytes.begin(), it.bytes.end()});
}

// Message kind, followed by the fields that claims and completions have in common.
json common_fields(std::uint64_t kind, const idempotency_key& key, std::uint64_t fingerprint,
                   const claim_attempt& attempt, std::uint64_t epoch)
{
    return json::array({kind, key.organisation.value, binary_of(key.text), fingerprint,
                        attempt.vm.value, attempt.run.value, attempt.number, epoch});
}

// The regions of a restricted key follow the other fields of a message.
void add_regions(json& out, const idempotency_key& key)
{
    if (key.regions.empty())
        return;
    json regions = json::array();
    for (const region_id it : key.regions)
        regions.push_back(it.value);
    out.push_back(std::move(regions));
}

json to_json(const idempotency_claim& it)
{
    json out = common_fields(0, it.key, it.fingerprint, it.attempt, it.epoch);
    if (it.key_created)
        out.push_back(static_cast<std::uint64_t>(it.key_created->time_since_epoch().count()));
    add_regions(out, it.key);
    return out;
}

json to_json(const claim_completion& it)
{
    json out = common_fields(1, it.key, it.fingerprint, it.attempt, it.epoch);
    out.push_back(static_cast<unsigned>(it.outcome));
    out.push_back(static_cast<unsigned>(it.status));
    add_regions(out, it.key);
    return out;
}

// The numeric value of an answer; 0 for answers without one.
struct answer_value {
    std::uint64_t operator()(const claim_granted& it) const { return it.epoch; }
    std::uint64_t operator()(const claim_in_progress&) const { return 0; }
    std::uint64_t operator()(const claim_executed& it) const
    {
        return static_cast<std::uint64_t>(it.status);
    }
    std::uint64_t operator()(const claim_outcome_unknown&) const { return 0; }
    std::uint64_t operator()(const claim_refused& it) const
    {
        return static_cast<std::uint64_t>(it.reason);
    }
};

std::string bytes_of(const json& it)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(it);
    return {bytes.begin(), bytes.end()};
}

// Parses a CBOR array; nullopt for anything else. Even with exceptions disabled, the decoder throws
// on announced sizes that are too large to allocate.
std::optional<json> parse(std::string_view text)
{
    if (text.size() > max_message_bytes)
        return std::nullopt;
    try {
        json out = parse_cbor(text);
        return out.is_array() ? std::optional(std::move(out)) : std::nullopt;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

// Reads the fields of one message in order. A field that is missing, of the wrong type or out of
// range makes the whole message invalid.
class field_reader {
public:
    explicit field_reader(const json& in) : in_(in) {}

    std::uint64_t next(std::uint64_t max_value = std::numeric_limits<std::uint64_t>::max())
    {
        if (position_ >= in_.size() || !in_[position_].is_number_unsigned()) {
            is_malformed_ = true;
            return 0;
        }
        const auto value = in_[position_++].get<std::uint64_t>();
        is_malformed_ = is_malformed_ || value > max_value;
        return is_malformed_ ? 0 : value;
    }
    digest next_digest()
    {
        digest out;
        if (position_ >= in_.size() || !in_[position_].is_binary() ||
            in_[position_].get_binary().size() != digest_bytes) {
            is_malformed_ = true;
            return out;
        }
        const auto& bytes = in_[position_++].get_binary();
        std::copy(bytes.begin(), bytes.end(), out.bytes.begin());
        return out;
    }
    // A sorted list without repetitions, if the next field is one.
    std::vector<region_id> next_regions()
    {
        std::vector<region_id> out;
        if (!has_list())
            return out;
        for (const json& it : in_[position_++]) {
            is_malformed_ = is_malformed_ || !it.is_number_unsigned();
            out.push_back({is_malformed_ ? 0 : it.get<std::uint64_t>()});
        }
        is_malformed_ = is_malformed_ || out.empty() ||
                        std::ranges::adjacent_find(out, std::ranges::greater_equal{}) != out.end();
        return out;
    }
    bool has_list() const { return has_more() && in_[position_].is_array(); }
    bool has_more() const { return position_ < in_.size(); }
    bool is_valid() const { return !is_malformed_ && !has_more(); }

private:
    const json& in_;
    std::size_t position_ = 0;
    bool is_malformed_ = false;
};

// Braced initialisers are evaluated in order, so the fields are read in the order of the message.
idempotency_claim read_claim(field_reader& in)
{
    idempotency_claim out{
        .key = {.organisation = {in.next()}, .text = in.next_digest()},
        .fingerprint = in.next(),
        .key_created = std::nullopt,
        .attempt = {.vm = {in.next()}, .run = {in.next()}, .number = in.next()},
        .epoch = in.next(),
    };
    if (in.has_more() && !in.has_list())
        out.key_created = wall_time(std::chrono::milliseconds(in.next(max_unix_milliseconds)));
    out.key.regions = in.next_regions();
    return out;
}

claim_completion read_completion(field_reader& in)
{
    constexpr auto last = static_cast<std::uint64_t>(claim_outcome::unknown);
    claim_completion out{
        .key = {.organisation = {in.next()}, .text = in.next_digest()},
        .fingerprint = in.next(),
        .attempt = {.vm = {in.next()}, .run = {in.next()}, .number = in.next()},
        .epoch = in.next(),
        .outcome = static_cast<claim_outcome>(in.next(last)),
        .status = static_cast<int>(in.next(max_status)),
    };
    out.key.regions = in.next_regions();
    return out;
}

claim_answer read_answer(std::uint64_t kind, field_reader& in)
{
    constexpr auto last_refusal = static_cast<std::uint64_t>(claim_refusal::attempt_withdrawn);
    if (kind == 0)
        return claim_granted{in.next()};
    if (kind == 2)
        return claim_executed{static_cast<int>(in.next(max_status))};
    if (kind == 4)
        return claim_refused{static_cast<claim_refusal>(in.next(last_refusal))};
    in.next(0);
    return kind == 1 ? claim_answer(claim_in_progress{}) : claim_answer(claim_outcome_unknown{});
}

} // namespace

std::string encode_claim_message(const claim_message& it)
{
    return bytes_of(std::visit([](const auto& message) { return to_json(message); }, it));
}

std::string encode_claim_message(const claim_answer& it)
{
    const std::uint64_t kind = it.index();
    return bytes_of(json::array({kind, std::visit(answer_value{}, it)}));
}

std::optional<claim_message> decode_claim_message(std::string_view text)
{
    const auto parsed = parse(text);
    if (!parsed)
        return std::nullopt;
    field_reader in(*parsed);
    claim_message out;
    if (in.next(std::variant_size_v<claim_message> - 1) == 0)
        out = read_claim(in);
    else
        out = read_completion(in);
    return in.is_valid() ? std::optional(out) : std::nullopt;
}

std::optional<claim_answer> decode_claim_answer(std::string_view text)
{
    const auto parsed = parse(text);
    if (!parsed)
        return std::nullopt;
    field_reader in(*parsed);
    const std::uint64_t kind = in.next(std::variant_size_v<claim_answer> - 1);
    const claim_answer out = read_answer(kind, in);
    return in.is_valid() ? std::optional(out) : std::nullopt;
}

} // namespace jasminebank
