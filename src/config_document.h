#pragma once

// Storage format of the configuration. One common document holds the services, routes and
// templates; the organisations are distributed over a fixed number of further documents by the hash
// of their names, so that a change rewrites only a small part. A document is INI text and is named
// by its digest. The head lists the documents of one generation; a change takes effect when the
// head is replaced.

#include "fleet_config.h"
#include "ini_file.h"
#include "result.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// Number of documents that hold organisations.
constexpr std::size_t organisation_buckets = 128;
/// Number of documents in a configuration: the common one, followed by the organisation buckets.
constexpr std::size_t document_count = 1 + organisation_buckets;

/// Lists the documents of one generation.
struct config_head {
    std::uint64_t generation = 0;
    std::string change_id; ///< identifies the change, so that its author can find out whether it
                           ///< took effect
    std::vector<std::string> documents; ///< `document_count` names, common one first
    bool operator==(const config_head&) const = default;
};

/// Texts of the `document_count` documents of one generation, in the order of the head.
using config_texts = std::vector<std::string>;

/// Name of the document with this text: the first 32 hexadecimal digits of its SHA-256 digest.
std::string document_name(std::string_view text);

/// Distributes the sections over the documents. Each document is sorted by section name, so the
/// same sections produce the same documents in whatever order they are passed.
config_texts split_documents(const std::vector<ini_section>& sections);

/// Builds the head that lists documents with these texts.
config_head make_head(const config_texts& texts, std::uint64_t generation, std::string change_id);

/// Encodes a head as JSON.
std::string encode_head(const config_head& head);
/// Decodes a head; nullopt if it is malformed.
std::optional<config_head> decode_head(std::string_view text);

/// Parses the documents and returns all their sections; an error names the document.
result<std::vector<ini_section>, ini_error> read_sections(const config_texts& texts);

/// Parses the documents and builds the configuration of the head's generation.
result<std::shared_ptr<const fleet_config>, ini_error> build_generation(const config_head& head,
                                                                        const config_texts& texts);

/// Section of a configuration file with the generation that the file was derived from.
constexpr std::string_view base_section = "base";
/// Removes the base section from `file` and returns its generation; nullopt if there is none.
result<std::optional<std::uint64_t>, ini_error> extract_base_generation(ini_file& file);

/// Replaces the section of the same name, or appends `it`.
void put_section(std::vector<ini_section>& sections, const ini_section& it);
/// Removes the section `name`; false if there is none.
bool remove_section(std::vector<ini_section>& sections, std::string_view name);

} // namespace jasminebank
