#pragma once

// The configuration in force at a node, and the newer one that it is collecting, document by
// document, from the store or from other nodes. A generation never goes back: heads that are not
// newer are ignored, whoever tells them. What does not parse leaves the old generation in force.

#include "config_document.h"
#include "result.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// The configuration of one generation with the documents that it was built from.
struct config_generation {
    config_head head;
    config_texts texts;
    std::shared_ptr<const fleet_config> config;
};

/// One node asks another for what it lacks.
struct config_request {
    std::uint64_t generation = 0;       ///< in force at the asking node
    std::vector<std::string> documents; ///< names that it has
};

/// The answer: a head, and documents that the asking node lacks, as many as fit.
struct config_response {
    config_head head;
    std::vector<std::string> documents; ///< texts; their names follow from them
};

std::string encode_config_request(const config_request& it);
std::optional<config_request> decode_config_request(std::string_view text);
std::string encode_config_response(const config_response& it);
std::optional<config_response> decode_config_response(std::string_view text);

/// Not thread-safe.
class config_keeper {
public:
    /// The generation in force; null before the first.
    const std::shared_ptr<const config_generation>& current() const { return current_; }

    /// A head was read or told. True when it is newer than what is in force or being collected.
    bool accept_head(const config_head& head);
    /// Names of documents that the newest head needs and that are not here.
    std::vector<std::string> missing_documents() const;
    /// A document came; ignored if nothing needs it.
    void add_document(const std::string& text);
    /// Puts the collected generation into force when nothing is missing. The new generation, or
    /// nothing if documents are missing; an error when it does not parse, and it is given up.
    result<std::shared_ptr<const config_generation>, ini_error> activate();

    /// What to ask another node for.
    config_request make_request() const;
    /// What to answer, with documents of at most `limit` bytes together, but at least one.
    config_response make_response(const config_request& request, std::size_t limit) const;

private:
    struct pending_generation {
        config_head head;
        config_texts texts;
        std::vector<bool> is_present;
    };

    std::shared_ptr<const config_generation> current_;
    std::optional<pending_generation> pending_;
    std::uint64_t rejected_generation_ = 0;
};

} // namespace jasminebank
