#include "store_codec.h"

#include "base64.h"
#include "json_reader.h"

#include <algorithm>

namespace jasminebank {

using nlohmann::json;

static lease_id lease_at(const json& parent, const char* name)
{
    return lease_id{static_cast<std::uint64_t>(integer_at(parent, name))};
}

static std::string lease_text(lease_id it)
{
    return std::to_string(static_cast<std::int64_t>(it.value));
}

static json keys_to_json(const store_key_range& it)
{
    json out{{"key", to_base64(it.key)}};
    if (!it.range_end.empty())
        out["range_end"] = to_base64(it.range_end);
    return out;
}

static store_key_range keys_from_json(const json& it)
{
    store_key_range out{.key = bytes_at(it, "key"), .range_end = bytes_at(it, "range_end")};
    if (out.key.empty())
        throw bad_member{};
    return out;
}

static json header_to_json(store_revision revision, std::int64_t cluster = 1)
{
    return {{"cluster_id", std::to_string(cluster)},
            {"member_id", "1"},
            {"revision", std::to_string(revision)},
            {"raft_term", "1"}};
}

// Every valid answer has a revision, which is above 0.
static store_revision revision_of(const json& answer)
{
    const store_revision out = integer_at(object_at(answer, "header"), "revision");
    if (out <= 0)
        throw bad_member{};
    return out;
}

static json entry_to_json(const store_entry& it)
{
    json out{{"key", to_base64(it.key)}, {"mod_revision", std::to_string(it.mod_revision)}};
    if (it.version == 0)
        return out;
    out["create_revision"] = std::to_string(it.create_revision);
    out["version"] = std::to_string(it.version);
    if (!it.value.empty())
        out["value"] = to_base64(it.value);
    if (it.lease != lease_id{})
        out["lease"] = lease_text(it.lease);
    return out;
}

static store_entry entry_from_json(const json& it)
{
    store_entry out{.key = bytes_at(it, "key"),
                    .value = bytes_at(it, "value"),
                    .create_revision = integer_at(it, "create_revision"),
                    .mod_revision = integer_at(it, "mod_revision"),
                    .version = integer_at(it, "version"),
                    .lease = lease_at(it, "lease")};
    if (out.key.empty() || out.mod_revision <= 0)
        throw bad_member{};
    return out;
}

static json entries_to_json(const std::vector<store_entry>& entries)
{
    json out = json::array();
    for (const store_entry& it : entries)
        out.push_back(entry_to_json(it));
    return out;
}

static void append_entries(const json& answer, std::vector<store_entry>& out)
{
    for (const json& it : objects_at(answer, "kvs"))
        out.push_back(entry_from_json(it));
}

static json range_to_json(const store_range& it)
{
    json out{{"header", header_to_json(it.revision)}};
    if (it.entries.empty())
        return out;
    out["kvs"] = entries_to_json(it.entries);
    out["count"] = std::to_string(it.entries.size());
    return out;
}

static json compare_to_json(const store_compare& it)
{
    json out{{"result", "EQUAL"}, {"key", to_base64(it.key)}};
    switch (it.target) {
    case compare_target::mod_revision:
        out["target"] = "MOD";
        out["mod_revision"] = std::to_string(it.expected_revision);
        break;
    case compare_target::create_revision:
        out["target"] = "CREATE";
        out["create_revision"] = std::to_string(it.expected_revision);
        break;
    case compare_target::value:
        out["target"] = "VALUE";
        out["value"] = to_base64(it.expected_value);
        break;
    }
    return out;
}

static store_compare compare_from_json(const json& it)
{
    store_compare out{.key = bytes_at(it, "key"), .expected_value = {}};
    const std::string target = text_at(it, "target");
    if (text_at(it, "result") != "EQUAL" || out.key.empty())
        throw bad_member{};
    if (target == "MOD") {
        out.expected_revision = integer_at(it, "mod_revision");
    }
    else if (target == "CREATE") {
        out.target = compare_target::create_revision;
        out.expected_revision = integer_at(it, "create_revision");
    }
    else if (target == "VALUE") {
        out.target = compare_target::value;
        out.expected_value = bytes_at(it, "value");
    }
    else {
        throw bad_member{};
    }
    return out;
}

static json put_to_json(const store_put& it)
{
    json out{{"key", to_base64(it.key)}, {"value", to_base64(it.value)}};
    if (it.lease != lease_id{})
        out["lease"] = lease_text(it.lease);
    return out;
}

static void append_operation(const json& operation, store_txn& out)
{
    if (operation.contains("request_put")) {
        const json& it = object_at(operation, "request_put");
        out.puts.push_back({.key = bytes_at(it, "key"),
                            .value = bytes_at(it, "value"),
                            .lease = lease_at(it, "lease")});
        return;
    }
    if (!operation.contains("request_delete_range"))
        throw bad_member{};
    out.deletes.push_back(keys_from_json(object_at(operation, "request_delete_range")));
}

std::string encode_range_request(const store_key_range& it)
{
    return keys_to_json(it).dump();
}

std::string encode_txn_request(const store_txn& it)
{
    json out = json::object();
    for (const store_compare& compare : it.compares) {
        out["compare"].push_back(compare_to_json(compare));
        out["failure"].push_back({{"request_range", {{"key", to_base64(compare.key)}}}});
    }
    for (const store_put& put : it.puts)
        out["success"].push_back({{"request_put", put_to_json(put)}});
    for (const store_key_range& keys : it.deletes)
        out["success"].push_back({{"request_delete_range", keys_to_json(keys)}});
    return out.dump();
}

std::string encode_grant_request(duration ttl)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(ttl).count();
    return json{{"TTL", std::to_string(seconds)}}.dump();
}

std::string encode_lease_request(lease_id lease)
{
    return json{{"ID", lease_text(lease)}}.dump();
}

std::string encode_watch_request(const store_watch_request& it)
{
    json create = keys_to_json(it.keys);
    if (it.from > 0)
        create["start_revision"] = std::to_string(it.from);
    if (it.progress_notify)
        create["progress_notify"] = true;
    return json{{"create_request", std::move(create)}}.dump();
}

std::optional<store_key_range> decode_range_request(std::string_view text)
{
    return read_json(text, keys_from_json);
}

// The failure branch must read exactly the compared keys, the only form that `store_state`
// supports.
std::optional<store_txn> decode_txn_request(std::string_view text)
{
    return read_json(text, [](const json& it) {
        store_txn out;
        for (const json& compare : objects_at(it, "compare"))
            out.compares.push_back(compare_from_json(compare));
        for (const json& operation : objects_at(it, "success"))
            append_operation(operation, out);
        const json& reads = objects_at(it, "failure");
        if (reads.size() != out.compares.size())
            throw bad_member{};
        for (std::size_t i = 0; i < reads.size(); ++i)
            if (bytes_at(object_at(reads[i], "request_range"), "key") != out.compares[i].key)
                throw bad_member{};
        return out;
    });
}

std::optional<duration> decode_grant_request(std::string_view text)
{
    return read_json(text, [](const json& it) {
        constexpr std::int64_t max_seconds = 9'000'000;
        const std::int64_t seconds = integer_at(it, "TTL");
        if (seconds <= 0 || seconds > max_seconds)
            throw bad_member{};
        return duration(std::chrono::seconds(seconds));
    });
}

std::optional<lease_id> decode_lease_request(std::string_view text)
{
    return read_json(text, [](const json& it) { return lease_at(it, "ID"); });
}

std::optional<store_watch_request> decode_watch_request(std::string_view text)
{
    return read_json(text, [](const json& it) {
        const json& create = object_at(it, "create_request");
        return store_watch_request{.keys = keys_from_json(create),
                                   .from = integer_at(create, "start_revision"),
                                   .progress_notify = flag_at(create, "progress_notify")};
    });
}

std::string encode_range(const store_range& it)
{
    return range_to_json(it).dump();
}

std::string encode_commit(const store_commit& it, const store_txn& request)
{
    json out{{"header", header_to_json(it.revision)}};
    const json header{{"revision", std::to_string(it.revision)}};
    json responses = json::array();
    if (it.succeeded) {
        out["succeeded"] = true;
        for (std::size_t i = 0; i < request.puts.size(); ++i)
            responses.push_back({{"response_put", {{"header", header}}}});
        for (std::size_t i = 0; i < request.deletes.size(); ++i)
            responses.push_back({{"response_delete_range", {{"header", header}}}});
    }
    for (std::size_t i = 0; !it.succeeded && i < request.compares.size(); ++i) {
        store_range found{.revision = it.revision, .entries = {}};
        for (const store_entry& entry : it.found)
            if (entry.key == request.compares[i].key)
                found.entries.push_back(entry);
        responses.push_back({{"response_range", range_to_json(found)}});
    }
    if (!responses.empty())
        out["responses"] = std::move(responses);
    return out.dump();
}

static json lease_to_json(const store_lease& it, store_revision revision)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(it.ttl).count();
    json out{{"header", header_to_json(revision)}, {"ID", lease_text(it.lease)}};
    if (seconds > 0)
        out["TTL"] = std::to_string(seconds);
    return out;
}

std::string encode_lease(const store_lease& it, store_revision revision)
{
    return lease_to_json(it, revision).dump();
}

std::string encode_keepalive_response(const store_lease& it, store_revision revision)
{
    return json{{"result", lease_to_json(it, revision)}}.dump() + "\n";
}

std::string encode_revoke_response(store_revision revision)
{
    return json{{"header", header_to_json(revision)}}.dump();
}

std::string encode_watch_message(const store_watch_message& it)
{
    json out{{"header", header_to_json(it.batch.revision, it.cluster)}};
    if (it.created)
        out["created"] = true;
    if (it.cancelled)
        out["canceled"] = true;
    if (it.compact_revision > 0)
        out["compact_revision"] = std::to_string(it.compact_revision);
    for (const store_event& event : it.batch.events) {
        json change{{"kv", entry_to_json(event.entry)}};
        if (event.deleted)
            change["type"] = "DELETE";
        out["events"].push_back(std::move(change));
    }
    return json{{"result", std::move(out)}}.dump() + "\n";
}

std::string encode_refusal(const store_refusal& it)
{
    return json{{"error", it.message}, {"message", it.message}, {"code", it.code}}.dump();
}

std::optional<store_range> decode_range(std::string_view text)
{
    return read_json(text, [](const json& it) {
        store_range out{.revision = revision_of(it), .entries = {}};
        append_entries(it, out.entries);
        return out;
    });
}

// The answer repeats a key that two comparisons name; the result holds it once.
std::optional<store_commit> decode_commit(std::string_view text)
{
    return read_json(text, [](const json& it) {
        store_commit out{
            .revision = revision_of(it), .succeeded = flag_at(it, "succeeded"), .found = {}};
        if (out.succeeded)
            return out;
        for (const json& response : objects_at(it, "responses"))
            append_entries(object_at(response, "response_range"), out.found);
        const auto by_key = [](const store_entry& a, const store_entry& b) {
            return a.key < b.key;
        };
        const auto same_key = [](const store_entry& a, const store_entry& b) {
            return a.key == b.key;
        };
        std::sort(out.found.begin(), out.found.end(), by_key);
        out.found.erase(std::unique(out.found.begin(), out.found.end(), same_key), out.found.end());
        return out;
    });
}

static store_lease lease_from_json(const json& it)
{
    constexpr std::int64_t max_seconds = 9'000'000'000;
    const std::int64_t seconds = integer_at(it, "TTL");
    if (seconds > max_seconds)
        throw bad_member{};
    revision_of(it);
    const store_lease out{.lease = lease_at(it, "ID"),
                          .ttl = std::chrono::seconds(std::max<std::int64_t>(seconds, 0))};
    if (out.lease == lease_id{})
        throw bad_member{};
    return out;
}

std::optional<store_lease> decode_lease(std::string_view text)
{
    return read_json(text, lease_from_json);
}

std::optional<store_lease> decode_keepalive_response(std::string_view text)
{
    return read_json(text, [](const json& it) { return lease_from_json(object_at(it, "result")); });
}

bool decode_revoke_response(std::string_view text)
{
    return read_json(text, revision_of).has_value();
}

std::optional<store_watch_message> decode_watch_message(std::string_view text)
{
    return read_json(text, [](const json& it) {
        const json& message = object_at(it, "result");
        store_watch_message out{.batch = {.revision = revision_of(message), .events = {}},
                                .cluster = integer_at(object_at(message, "header"), "cluster_id"),
                                .created = flag_at(message, "created"),
                                .cancelled = flag_at(message, "canceled"),
                                .compact_revision = integer_at(message, "compact_revision")};
        for (const json& change : objects_at(message, "events"))
            out.batch.events.push_back({.deleted = text_at(change, "type") == "DELETE",
                                        .entry = entry_from_json(object_at(change, "kv"))});
        return out;
    });
}

std::optional<store_refusal> decode_refusal(std::string_view text)
{
    return read_json(text, [](const json& it) {
        return store_refusal{.code = static_cast<int>(integer_at(it, "code")),
                             .message = text_at(it, "message")};
    });
}

} // namespace jasminebank
