#pragma once

// JSON encoding of lease records in the store, where operators may read them, and of the notices by
// which an earlier holder reports to its successor that it has stopped.

#include "limit_lease.h"

#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

std::string encode_lease_record(const lease_record& it);
/// Returns nothing if the text is malformed or a value is out of its range.
std::optional<lease_record> decode_lease_record(std::string_view text);

/// Notice that the holder of an earlier lease on the shard has stopped permanently.
struct shard_stop_notice {
    std::uint32_t shard = 0;
    past_lease past;
};

std::string encode_stop_notice(const shard_stop_notice& it);
std::optional<shard_stop_notice> decode_stop_notice(std::string_view text);

} // namespace jasminebank
