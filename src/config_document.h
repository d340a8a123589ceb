#pragma once

// The form in which a configuration is kept: one document with services, routes and templates, and
// a fixed number of documents with the organisations, by hash of their names, so that a change
// rewrites a small part. Documents are INI text and are known by their digest. The head names the
// documents of one generation; replacing the head is what makes a change take effect.

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

/// Documents that organisations are spread over.
constexpr std::size_t organisation_buckets = 128;
/// All documents of a configuration: the common one first, then the buckets.
constexpr std::size_t document_count = 1 + organisation_buckets;

/// Names the documents of one generation.
struct config_head {
    std::uint64_t generation = 0;
    std::string change_id;              ///< tells a change that is already in force from a new one
    std::vector<std::string> documents; ///< names by digest, `document_count` of them
    bool operator==(const config_head&) const = default;
};

/// Text of all documents of one generation, `document_count` of them.
using config_texts = std::vector<std::string>;

/// The name of a document: part of its digest, 32 hexadecimal digits.
std::string document_name(std::string_view text);

/// Spreads sections over documents in a fixed order, so that equal sections give equal documents.
config_texts split_documents(const std::vector<ini_section>& sections);

/// The head of these documents.
config_head make_head(const config_texts& texts, std::uint64_t generation, std::string change_id);

/// JSON of a head.
std::string encode_head(const config_head& head);
/// Reads it; nothing if it is malformed.
std::optional<config_head> decode_head(std::string_view text);

/// All sections of the documents; an error names the document.
result<std::vector<ini_section>, ini_error> read_sections(const config_texts& texts);

/// Builds the configuration that nodes use.
result<std::shared_ptr<const fleet_config>, ini_error> build_generation(const config_head& head,
                                                                        const config_texts& texts);

/// Section in which a file tells the generation that it was made from.
constexpr std::string_view base_section = "base";
/// Takes that section out of `file` and returns its generation; nothing if there is none.
result<std::optional<std::uint64_t>, ini_error> extract_base_generation(ini_file& file);

/// Replaces the section of the same name, or adds it.
void put_section(std::vector<ini_section>& sections, const ini_section& it);
/// Removes a section by name; false if there is none.
bool remove_section(std::vector<ini_section>& sections, std::string_view name);

} // namespace jasminebank
