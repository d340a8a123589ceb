#include "limit_codec.h"

#include "foreign_document.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>
#include <initializer_list>
#include <limits>

namespace jasminebank {

namespace {

using json = nlohmann::json;

constexpr std::size_t max_fields = 10;
constexpr std::uint64_t max_amount = std::numeric_limits<micro_tokens>::max() / 4;
// Resolution of loan::remaining, which is only a hint.
constexpr micro_tokens remaining_unit = one_token / 16;
constexpr std::uint64_t max_milliseconds = 3'600'000;

std::uint64_t milliseconds_of(duration it)
{
    const auto n = std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
    return n < 0 ? 0 : static_cast<std::uint64_t>(n);
}

// Each array holds the index of the type in limit_message, then the fields in the order of the
// struct.
json to_json(const grant_request& it)
{
    json out = json::array({0, it.number, it.organisation.value, it.need, it.prefetch,
                            milliseconds_of(it.holder_wait), milliseconds_of(it.lifetime)});
    if (it.reported_grant != 0) {
        out.push_back(it.reported_grant);
        out.push_back(it.spent);
    }
    return out;
}

json to_json(const grant& it)
{
    json out = json::array(
        {1, it.number, static_cast<unsigned>(it.status), it.tokens, milliseconds_of(it.lifetime)});
    if (it.retry_after > duration::zero())
        out.push_back(milliseconds_of(it.retry_after) + 1);
    return out;
}

json to_json(const grant_return& it)
{
    return json::array({2, it.number, it.organisation.value, it.spent});
}

json to_json(const loan_request& it)
{
    return json::array({3, it.number, it.organisation.value, it.wanted,
                        milliseconds_of(it.lifetime), it.urgent ? 1 : 0});
}

json to_json(const loan& it)
{
    json out = json::array({4, it.number, it.organisation.value, it.amount,
                            it.remaining / remaining_unit, milliseconds_of(it.lifetime)});
    if (it.retry_after > duration::zero())
        out.push_back(milliseconds_of(it.retry_after) + 1);
    return out;
}

json to_json(const loan_return& it)
{
    return json::array({5, it.number, it.organisation.value, it.amount});
}

// Reads the fields of one message in order. A field that is missing, negative or too large makes
// the whole message invalid.
class field_reader {
public:
    explicit field_reader(const json& in) : in_(in) {}

    std::uint64_t next(std::uint64_t max)
    {
        if (at_ >= in_.size() || !in_[at_].is_number_unsigned()) {
            is_bad_ = true;
            return 0;
        }
        const auto value = in_[at_++].get<std::uint64_t>();
        is_bad_ = is_bad_ || value > max;
        return value;
    }
    std::uint64_t number() { return next(std::numeric_limits<std::uint64_t>::max()); }
    std::uint32_t count()
    {
        return static_cast<std::uint32_t>(next(std::numeric_limits<std::uint32_t>::max()));
    }
    micro_tokens amount() { return static_cast<micro_tokens>(next(max_amount)); }
    duration time() { return std::chrono::milliseconds(next(max_milliseconds)); }
    bool has_more() const { return at_ < in_.size(); }
    bool is_good() const { return !is_bad_ && !has_more(); }

private:
    const json& in_;
    std::size_t at_ = 0;
    bool is_bad_ = false;
};

// Braced initialisers are evaluated in order, so the fields are read in the order of the struct.
grant_request read_grant_request(field_reader& in)
{
    grant_request it{.number = in.number(),
                     .organisation = {in.number()},
                     .need = in.count(),
                     .prefetch = in.count(),
                     .holder_wait = in.time(),
                     .lifetime = in.time()};
    if (in.has_more()) {
        it.reported_grant = in.number();
        it.spent = in.count();
    }
    return it;
}

grant read_grant(field_reader& in)
{
    constexpr auto last = static_cast<std::uint64_t>(grant_status::not_holder);
    grant it{.number = in.number(),
             .status = static_cast<grant_status>(in.next(last)),
             .tokens = in.count(),
             .lifetime = in.time()};
    if (in.has_more())
        it.retry_after = in.time();
    return it;
}

limit_message read_return_or_loan(std::uint64_t kind, field_reader& in)
{
    if (kind == 2)
        return grant_return{
            .number = in.number(), .organisation = {in.number()}, .spent = in.count()};
    if (kind == 3)
        return loan_request{.number = in.number(),
                            .organisation = {in.number()},
                            .wanted = in.amount(),
                            .lifetime = in.time(),
                            .urgent = in.next(1) == 1};
    if (kind == 4) {
        loan it{.number = in.number(),
                .organisation = {in.number()},
                .amount = in.amount(),
                .remaining = static_cast<micro_tokens>(in.next(max_amount / remaining_unit)) *
                             remaining_unit,
                .lifetime = in.time()};
        if (in.has_more())
            it.retry_after = in.time();
        return it;
    }
    return loan_return{.number = in.number(), .organisation = {in.number()}, .amount = in.amount()};
}

} // namespace

std::string encode_limit_message(const limit_message& it)
{
    const json out = std::visit([](const auto& message) { return to_json(message); }, it);
    const std::vector<std::uint8_t> bytes = json::to_msgpack(out);
    return {bytes.begin(), bytes.end()};
}

std::optional<limit_message> decode_limit_message(std::string_view text)
{
    const json parsed = parse_msgpack(text);
    if (!parsed.is_array() || parsed.size() > max_fields)
        return std::nullopt;
    field_reader in(parsed);
    const std::uint64_t kind = in.next(std::variant_size_v<limit_message> - 1);
    limit_message it;
    if (kind == 0)
        it = read_grant_request(in);
    else if (kind == 1)
        it = read_grant(in);
    else
        it = read_return_or_loan(kind, in);
    return in.is_good() ? std::optional(it) : std::nullopt;
}

std::string encode_limit_batch(std::span<const limit_message> messages)
{
    std::string out;
    for (const limit_message& it : messages.first(std::min(messages.size(), max_limit_batch))) {
        const std::string text = encode_limit_message(it);
        assert(text.size() <= std::numeric_limits<unsigned char>::max());
        out += static_cast<char>(text.size());
        out += text;
    }
    return out;
}

std::optional<std::vector<limit_message>> decode_limit_batch(std::string_view text)
{
    std::vector<limit_message> out;
    while (!text.empty()) {
        const std::size_t length = static_cast<unsigned char>(text.front());
        text.remove_prefix(1);
        const auto it =
            length <= text.size() ? decode_limit_message(text.substr(0, length)) : std::nullopt;
        if (!it || out.size() == max_limit_batch)
            return std::nullopt;
        out.push_back(*it);
        text.remove_prefix(length);
    }
    return out;
}

} // namespace jasminebank
