#pragma once

// Member records on the wire, in CBOR.

#include "member_directory.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// CBOR of the records, at most a few megabytes for the whole fleet.
std::string encode_members(std::span<const member_record> members);

/// Reads them; nothing if the text is malformed or a value is out of its range.
std::optional<std::vector<member_record>> decode_members(std::string_view text);

/// One side's part of an exchange of directories: the editions that it knows, records that the
/// other side lacks, and nodes whose records it lacks itself.
struct member_exchange {
    std::vector<record_stamp> known;
    std::vector<member_record> records;
    std::vector<vm_id> wanted;
};

std::string encode_exchange(const member_exchange& it);
std::optional<member_exchange> decode_exchange(std::string_view text);

/// The answer to the other side's part: what it lacks, and what is wanted from it.
member_exchange make_exchange_reply(const member_directory& directory,
                                    const member_exchange& request);
/// The editions that a directory knows.
std::vector<record_stamp> known_stamps(const member_directory& directory);

} // namespace jasminebank
