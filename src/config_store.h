#pragma once

// Reads and changes the operators' configuration in the key-value store. Documents are immutable
// and stored under their digest; a generation takes effect when the head is replaced by
// compare-and-swap.

#include "config_document.h"
#include "store_messages.h"

#include <cstdint>
#include <string>

namespace jasminebank {

constexpr std::string_view config_head_key = "jasminebank/config/head";
constexpr std::string_view config_document_prefix = "jasminebank/config/document/";

/// A configuration as read from the store.
struct stored_config {
    config_head head; ///< generation 0 if the store has no configuration yet
    store_revision head_revision = 0;
    config_texts texts;
};

/// Why a configuration could not be read or changed.
enum class config_store_failure : std::uint8_t {
    unreachable, ///< nothing was changed
    conflict,    ///< another change took effect first; nothing was changed
    unknown,     ///< the change may or may not have taken effect
    damaged,     ///< the stored head or a document is missing, altered or malformed
};

struct config_store_error {
    config_store_failure kind = config_store_failure::unreachable;
    std::string detail;
};

std::string document_key(std::string_view name);

/// Reads only the head; generation 0 if there is none.
template <key_value_store Store>
result<stored_config, config_store_error> read_head(Store& store)
{
    const auto read =
        store.range(store_key_range{.key = std::string(config_head_key), .range_end = {}});
    if (failed(read))
        return config_store_error{config_store_failure::unreachable, error_of(read).detail};
    stored_config out;
    if (value_of(read).entries.empty())
        return out;
    const store_entry& entry = value_of(read).entries.front();
    const auto head = decode_head(entry.value);
    if (!head)
        return config_store_error{config_store_failure::damaged,
                                  "the configuration head is malformed"};
    out.head = *head;
    out.head_revision = entry.mod_revision;
    return out;
}

/// Reads one document and verifies that its digest matches its name.
template <key_value_store Store>
result<std::string, config_store_error> read_document(Store& store, const std::string& name)
{
    const auto read = store.range(store_key_range{.key = document_key(name), .range_end = {}});
    if (failed(read))
        return config_store_error{config_store_failure::unreachable, error_of(read).detail};
    if (value_of(read).entries.empty())
        return config_store_error{config_store_failure::damaged, "document missing: " + name};
    std::string text = value_of(read).entries.front().value;
    if (document_name(text) != name)
        return config_store_error{config_store_failure::damaged,
                                  "document does not match its digest: " + name};
    return text;
}

/// Reads the head and all its documents. Empty documents, the majority in a small fleet, are
/// recognised by their name and not read.
template <key_value_store Store>
result<stored_config, config_store_error> read_config(Store& store)
{
    auto out = read_head(store);
    if (failed(out))
        return out;
    stored_config& it = value_of(out);
    const std::string empty_name = document_name("");
    it.texts.resize(document_count);
    for (std::size_t n = 0; n < it.head.documents.size(); ++n) {
        if (it.head.documents[n] == empty_name)
            continue;
        auto text = read_document(store, it.head.documents[n]);
        if (failed(text))
            return error_of(text);
        it.texts[n] = std::move(value_of(text));
    }
    return out;
}

/// Determines the outcome of a change whose response was lost. The change took effect if its id is
/// in the stored head, and lost to another change if a different head of the same or a later
/// generation is there. With an older head the swap may still be in flight: the outcome is unknown.
template <key_value_store Store>
result<config_head, config_store_error> resolve_unknown_outcome(Store& store,
                                                                const config_head& head)
{
    const auto now = read_head(store);
    if (failed(now) || value_of(now).head.generation < head.generation)
        return config_store_error{config_store_failure::unknown, "change " + head.change_id};
    if (value_of(now).head.change_id == head.change_id)
        return head;
    return config_store_error{config_store_failure::conflict, "another change took effect first"};
}

/// Writes the new documents and then replaces the head, provided it is still the one in `before`,
/// so that another operator's change is never overwritten. If the store's response is lost, the
/// change id in the head shows whether the change took effect.
template <key_value_store Store>
result<config_head, config_store_error> change_config(Store& store, const stored_config& before,
                                                      const config_texts& texts,
                                                      const std::string& change_id)
{
    const config_head head = make_head(texts, before.head.generation + 1, change_id);
    for (std::size_t n = 0; n < document_count; ++n) {
        const bool known =
            n < before.head.documents.size() && before.head.documents[n] == head.documents[n];
        if (known || texts[n].empty())
            continue;
        const auto written = store.commit(
            {.compares = {},
             .puts = {{.key = document_key(head.documents[n]), .value = texts[n], .lease = {}}},
             .deletes = {}});
        if (failed(written) && error_of(written).kind != store_error_kind::outcome_unknown)
            return config_store_error{config_store_failure::unreachable, error_of(written).detail};
    }
    const std::string key(config_head_key);
    const auto swapped =
        store.commit({.compares = {unchanged_since(key, before.head_revision)},
                      .puts = {{.key = key, .value = encode_head(head), .lease = {}}},
                      .deletes = {}});
    if (!failed(swapped)) {
        if (value_of(swapped).succeeded)
            return head;
        return config_store_error{config_store_failure::conflict,
                                  "another change took effect first"};
    }
    if (error_of(swapped).kind != store_error_kind::outcome_unknown)
        return config_store_error{config_store_failure::unreachable, error_of(swapped).detail};
    return resolve_unknown_outcome(store, head);
}

} // namespace jasminebank
