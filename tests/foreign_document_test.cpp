// Odd bytes for every decoder of messages, datagrams and stored values: nested deeply, with numbers
// that are too large, or with sizes that cannot be. Workers have small stacks, and an exception
// that nobody catches ends the process.

#include "foreign_document.h"

#include "announcement.h"
#include "config_document.h"
#include "config_keeper.h"
#include "delegation_codec.h"
#include "digest.h"
#include "health_codec.h"
#include "heartbeat.h"
#include "limit_codec.h"
#include "limit_lease_codec.h"
#include "member_codec.h"
#include "once_codec.h"
#include "poison_codec.h"
#include "recall_codec.h"
#include "server_notice.h"
#include "small_stack.h"
#include "store_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace jasminebank;

namespace {

using json = nlohmann::json;

constexpr std::size_t depth = 5'000;
const std::string fleet_key = "fleet key of the tests";

std::string repeated(std::string_view text, std::size_t count)
{
    std::string out;
    for (std::size_t n = 0; n < count; ++n)
        out += text;
    return out;
}

struct odd_value {
    std::string name;
    std::string bytes;
};

std::vector<odd_value> odd_values()
{
    const std::string most(8, '\xff');
    const std::string large = "\x3f" + std::string(7, '\xff');
    return {
        {"empty", ""},
        {"nested CBOR arrays", repeated("\x81", depth) + "\x01"},
        {"nested CBOR arrays without end", repeated("\x9f", depth)},
        {"nested CBOR objects", repeated("\xa1\x61\x61", depth) + "\x01"},
        {"nested CBOR tags", repeated("\xc1", depth) + "\x01"},
        {"CBOR array of too many elements", "\x9b" + most},
        {"CBOR array of many elements", "\x9b" + large},
        {"CBOR object of too many members", "\xbb" + most},
        {"CBOR object of many members", "\xbb" + large},
        {"CBOR text of too many bytes", "\x7b" + most},
        {"CBOR bytes of too many bytes", "\x5b" + most},
        {"CBOR text without end", repeated("\x7f", depth)},
        {"CBOR bytes without end", repeated("\x5f", depth)},
        {"large CBOR array inside an array", std::string("\x81") + "\x9b" + large},
        {"nested MessagePack arrays", repeated("\x91", depth) + "\x01"},
        {"nested MessagePack arrays in a short message", repeated("\x91", 254) + "\x01"},
        {"nested MessagePack objects", repeated("\x81\xa1\x61", depth) + "\x01"},
        {"MessagePack array of too many elements", std::string("\xdd") + "\xff\xff\xff\xff"},
        {"nested JSON arrays", repeated("[", depth) + repeated("]", depth)},
        {"nested JSON objects", repeated("{\"a\":", depth) + "1" + repeated("}", depth)},
        {"nested JSON objects without end", repeated("{\"a\":", depth)},
        {"number out of range", "[1e999,1e999,1e999,1e999]"},
        {"large numbers", "[1e300,1e300,1e300,1e300]"},
        {"negative numbers", "[-1,-1,-1,-1]"},
        {"not text", std::string("\xff\xfe\x00\x01", 4)},
    };
}

// All decoders, each with an example of what it accepts.
struct decoder {
    std::string name;
    std::function<bool(std::string_view)> accepts;
    std::string example;
};

member_record member()
{
    return {.vm = id_of<vm_id>("a"),
            .name = "a",
            .run = {7},
            .version = 3,
            .link = {.host = "127.0.0.1", .port = 7000},
            .domain = {1},
            .servers = {{.id = id_of<backend_server_id>("127.0.0.1:80"),
                         .service = {5},
                         .address = {.host = "127.0.0.1", .port = 80},
                         .slots = 4}},
            .shards = {{.shard = 1, .epoch = 2}},
            .withdrawn = {{.server = {1}, .run = {2}}}};
}

// A datagram with a valid MAC: what a member with the fleet key can send.
std::string authenticated(std::string_view body)
{
    constexpr std::size_t mac_bytes = 16;
    const digest mac = keyed_digest(fleet_key, body);
    return std::string(mac.bytes.begin(), mac.bytes.begin() + mac_bytes) + std::string(body);
}

std::string datagram_body()
{
    constexpr std::size_t mac_bytes = 16;
    const heartbeat it{.kind = heartbeat_kind::gossip,
                       .sequence = 1,
                       .name = "a",
                       .sender = stamp_of(member()),
                       .target = {.host = "127.0.0.1", .port = 7000},
                       .store_age = std::chrono::seconds(1),
                       .suspects = {stamp_of(member())},
                       .records = {member()}};
    return encode_heartbeat(it, fleet_key).substr(mac_bytes);
}

template <class Decode>
decoder decoder_of(const std::string& name, Decode decode, const std::string& example)
{
    return {.name = name,
            .accepts = [decode](std::string_view it) { return decode(it).has_value(); },
            .example = example};
}

std::vector<decoder> decoders()
{
    const std::vector<member_record> members{member()};
    const idempotency_claim claim{.key = {.organisation = {1}, .text = digest_of(std::string("k"))},
                                  .attempt = {.vm = {1}, .run = {2}, .number = 3}};
    idempotency_claim restricted = claim;
    restricted.key.regions = {{1}, {2}};
    return {
        decoder_of("members", decode_members, encode_members(members)),
        decoder_of("exchange", decode_exchange,
                   encode_exchange(
                       {.known = {stamp_of(member())}, .records = members, .wanted = {vm_id{1}}})),
        decoder_of(
            "datagram",
            [](std::string_view it) { return decode_heartbeat(authenticated(it), fleet_key); },
            datagram_body()),
        decoder_of("health query", decode_health_query, encode_health_query({.service = {1}})),
        decoder_of("service health", decode_service_health,
                   encode_service_health({.reference = {}, .gate_run = {1}, .servers = {}})),
        decoder_of("ejections", decode_ejection_record,
                   encode_ejection_record({.service = {1},
                                           .version = 2,
                                           .ejected = {{.server = {1}, .gate = {2}}},
                                           .reserved = {{.gate = {2}}}})),
        decoder_of("victims", decode_victims,
                   encode_victims({{.fingerprint = {.high = 1, .low = 2},
                                    .server = {3},
                                    .run = {4},
                                    .remaining = std::chrono::seconds(1)}})),
        decoder_of("recalled facts", decode_recalled,
                   encode_recalled({.withdrawn = {{.server = {1}, .run = {2}}}, .victims = {}})),
        decoder_of("withdrawals", decode_withdrawals,
                   encode_withdrawals({{.server = {1}, .run = {2}}})),
        decoder_of("claim", decode_claim_message, encode_claim_message(claim_message(claim))),
        decoder_of("restricted claim", decode_claim_message,
                   encode_claim_message(claim_message(restricted))),
        decoder_of("claim answer", decode_claim_answer,
                   encode_claim_message(claim_answer(claim_executed{200}))),
        decoder_of("configuration request", decode_config_request,
                   encode_config_request({.generation = 1, .documents = {"a"}})),
        decoder_of("configuration response", decode_config_response,
                   encode_config_response(
                       {.head = make_head(config_texts(document_count), 1, "c"), .documents = {}})),
        decoder_of("head", decode_head,
                   encode_head(make_head(config_texts(document_count), 1, "c"))),
        decoder_of("limit message", decode_limit_message,
                   encode_limit_message(grant_return{.number = 1})),
        decoder_of("limit batch", decode_limit_batch,
                   encode_limit_batch(std::vector<limit_message>{grant_return{.number = 1}})),
        decoder_of("delegation", decode_delegation,
                   encode_delegation({.group = 1, .share = 2, .stamp = {{.run = {3}}}})),
        decoder_of("delegation stamp", decode_delegation_stamp,
                   encode_delegation_stamp({.run = {3}, .issued_ns = 4})),
        decoder_of("lease", decode_lease_record, encode_lease_record({})),
        decoder_of("notice", decode_notice, encode_notice({.notice = {}, .run = {1}})),
        decoder_of(
            "announcement",
            [](std::string_view it) {
                const auto out = parse_announcement(it);
                return failed(out) ? std::nullopt : std::optional(value_of(out));
            },
            R"({"service":"a","address":"127.0.0.1:80","slots":4})"),
        decoder_of("store range", decode_range, encode_range({.revision = 1, .entries = {}})),
        decoder_of("store lease", decode_lease,
                   encode_lease({.lease = {1}, .ttl = std::chrono::seconds(1)}, 1)),
        decoder_of("store commit", decode_commit,
                   encode_commit({.revision = 1, .succeeded = true, .found = {}}, {})),
    };
}

} // namespace

TEST(foreign_document, every_decoder_accepts_its_own_messages)
{
    for (const decoder& it : decoders())
        EXPECT_TRUE(it.accepts(it.example)) << it.name;
}

// Guards against a process that is ended by one odd entry of another writer.
TEST(foreign_document, odd_values_are_refused_by_every_decoder)
{
    run_on_small_stack([] {
        for (const decoder& to : decoders()) {
            for (const odd_value& it : odd_values()) {
                const bool is_empty_list =
                    it.bytes.empty() && (to.name == "limit batch" || to.name == "withdrawals");
                EXPECT_EQ(to.accepts(it.bytes), is_empty_list) << to.name << ", " << it.name;
            }
        }
    });
}

// Bytes of valid messages, damaged: any result is fine, but neither a crash nor an exception.
RC_GTEST_PROP(foreign_document, damaged_messages_harm_no_decoder, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    static const std::vector<odd_value> odd = odd_values();
    static const std::vector<decoder> all = decoders();
    run_on_small_stack([&] {
        for (const decoder& it : all) {
            std::string bytes = it.example;
            for (std::size_t n = 1 + random() % 3; n > 0; --n) {
                const std::size_t at = random() % bytes.size();
                if (random() % 3 == 0)
                    bytes.insert(at, odd[random() % odd.size()].bytes);
                else
                    bytes[at] = static_cast<char>(random());
            }
            static_cast<void>(it.accepts(bytes));
        }
    });
}

// A narrower type must not turn a number out of range into another one.
TEST(foreign_document, numbers_keep_their_range)
{
    EXPECT_EQ(unsigned_from<std::uint16_t>(json(65535U)), 65535);
    EXPECT_EQ(integer_from(json(-5)), -5);
    EXPECT_EQ(finite_from(json(0.5)), 0.5);
    for (const json& it : {json(65536U), json(-1), json(1e300), json("1"), json()})
        EXPECT_THROW(unsigned_from<std::uint16_t>(it), json::exception) << it;
    for (const json& it : {json(UINT64_MAX), json(1.5), json("1")})
        EXPECT_THROW(integer_from(it), json::exception) << it;
    for (const json& it : {json(std::numeric_limits<double>::infinity()),
                           json(std::numeric_limits<double>::quiet_NaN()), json("1")})
        EXPECT_THROW(finite_from(it), json::exception);
}

// One record that cannot be read must not hide the others.
TEST(foreign_document, a_member_with_a_port_out_of_range_is_left_out_of_a_list)
{
    const std::vector<member_record> members{member(), member(), member()};
    const std::string bytes = encode_members(members);
    json list = json::from_cbor(bytes);
    list[0][4] = 65536 + 7000;
    list[2][7][0][2] = 1e9;
    const std::vector<std::uint8_t> odd = json::to_cbor(list);
    const auto out = decode_members({reinterpret_cast<const char*>(odd.data()), odd.size()});
    ASSERT_TRUE(out.has_value());
    EXPECT_EQ(*out, std::vector<member_record>{member()});
}
