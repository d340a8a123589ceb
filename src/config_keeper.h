#pragma once

// Holds the configuration in force at a node and collects the documents of a newer one from the
// store or from peers. The generation is the version number of a configuration; its head lists the
// generation and the names of its documents, which are digests of their texts. The generation in
// force never decreases: a head that is not newer is ignored whatever its source. A generation that
// does not parse is rejected and the old one stays in force.

#include "config_document.h"
#include "result.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// The configuration of one generation and the documents that it was built from.
struct config_generation {
    config_head head;
    config_texts texts;
    std::shared_ptr<const fleet_config> config;
};

/// A node's request for a newer configuration.
struct config_request {
    std::uint64_t generation = 0;       ///< in force at the requesting node
    std::vector<std::string> documents; ///< names (digests) of those that the requester has
};

/// The response: a newer head, and as many of the documents that the requester lacks as fit.
struct config_response {
    config_head head;
    std::vector<std::string> documents; ///< texts; document_name() gives their names
};

std::string encode_config_request(const config_request& it);
std::optional<config_request> decode_config_request(std::string_view text);
std::string encode_config_response(const config_response& it);
std::optional<config_response> decode_config_response(std::string_view text);

/// Not thread-safe.
class config_keeper {
public:
    /// The generation in force; null until the first one is complete.
    const std::shared_ptr<const config_generation>& current() const { return current_; }

    /// Starts collecting the documents of `head` and returns true, if it is newer than
    /// each of: the generation in force, the one being collected, and the one rejected last.
    /// Otherwise ignores it.
    bool accept_head(const config_head& head);
    /// Names of the documents still to be collected.
    std::vector<std::string> missing_documents() const;
    /// Adds a document to the generation being collected; ignored if that does not contain it.
    void add_document(const std::string& text);
    /// Puts the collected generation into force and returns it. Null if none is being collected or
    /// documents are missing. An error if it does not parse; the generation is then rejected.
    result<std::shared_ptr<const config_generation>, ini_error> activate();

    /// The request to send to a peer: the generation in force and the documents that are present.
    config_request make_request() const;
    /// The response to a request. Its documents have at most `limit` bytes in total, but one
    /// document is included whatever its size. If no newer generation than the requester's is in
    /// force, the head has generation 0 and there are no documents.
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
