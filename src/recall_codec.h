#pragma once

// CBOR encoding of what a node tells a peer that has just started.

#include "poison_list.h"
#include "withdrawal_list.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

struct recalled_facts {
    std::vector<server_withdrawal> withdrawn{}; ///< from earlier runs of the asking node
    std::vector<poison_victim> victims{};       ///< all that the answering node knows
};

std::string encode_recalled(const recalled_facts& it);
/// Nothing if the bytes are malformed.
std::optional<recalled_facts> decode_recalled(std::string_view bytes);

} // namespace jasminebank
