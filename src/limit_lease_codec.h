#pragma once

// Mandate records as JSON: in the store, where operators may read them, and between nodes when an
// earlier holder tells that it has stopped.

#include "limit_lease.h"

#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

std::string encode_lease_record(const lease_record& it);
/// Nothing if the text is malformed or a value is out of its range.
std::optional<lease_record> decode_lease_record(std::string_view text);

/// An earlier holder of a shard that has stopped for good.
struct shard_stop_notice {
    std::uint32_t shard = 0;
    past_lease past;
};

std::string encode_stop_notice(const shard_stop_notice& it);
std::optional<shard_stop_notice> decode_stop_notice(std::string_view text);

} // namespace jasminebank
