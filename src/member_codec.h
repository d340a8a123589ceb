#pragma once

// Encodes member records and exchanges of them between nodes, in CBOR.

#include "member_directory.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// Encodes the records; at most a few megabytes for the whole fleet.
std::string encode_members(std::span<const member_record> members);

/// Decodes records; nullopt if `text` is malformed or has an element of a wrong type.
std::optional<std::vector<member_record>> decode_members(std::string_view text);

/// What one node sends in an exchange of directories: the record versions that it has, records that
/// are missing or outdated at the peer, and nodes whose records it requests from the peer.
struct member_exchange {
    std::vector<record_stamp> known;
    std::vector<member_record> records;
    std::vector<vm_id> wanted;
};

std::string encode_exchange(const member_exchange& it);
std::optional<member_exchange> decode_exchange(std::string_view text);

/// The reply to a peer: records that it requested, lacks or has in an older version, and requests
/// for records of which it has a newer version.
member_exchange make_exchange_reply(const member_directory& directory,
                                    const member_exchange& request);
/// The versions of all records in a directory.
std::vector<record_stamp> known_stamps(const member_directory& directory);

} // namespace jasminebank
