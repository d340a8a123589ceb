#pragma once

// Parses INI files and validates their fields. Every error names the file, line, section and field,
// the value found and the values allowed. A field that the program does not read is an error too.

#include "endpoint.h"
#include "result.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// An error in an INI file and its location. `line` is 0 if the field is missing.
struct ini_error {
    std::string file;
    int line = 0;
    std::string section;
    std::string field;
    std::string found;
    std::string allowed;
};

/// Formats an error as one line: "file:line: [section] field: found X, allowed: Y".
std::string describe(const ini_error& it);

/// One "name = value" line.
struct ini_field {
    std::string name;
    std::string value;
    int line = 0;
};

/// The fields below a "[name]" heading, in file order. A repeated heading continues its section.
struct ini_section {
    std::string name;
    int line = 0;
    std::vector<ini_field> fields;
};

/// A parsed file.
struct ini_file {
    std::string name;
    std::vector<ini_section> sections;
};

/// Splits `text` into sections and fields. Lines longer than 190 bytes are an error.
result<ini_file, ini_error> parse_ini(const std::string& name, std::string_view text);

/// Reads and parses the file `path`; an unreadable file is reported as an error with line 0.
result<ini_file, ini_error> load_ini(const std::string& path);

/// Reads the typed fields of one section and keeps the first error. Call `finish` last: it returns
/// that error, or else an error for the first field that no call has read.
class field_reader {
public:
    field_reader(const ini_file& file, const ini_section& section);

    /// The value, or `fallback` if the field is absent; so do all readers with a `fallback`. Those
    /// from `number` to `one_of` return it after an error too.
    std::string text(std::string_view name, std::string_view fallback);
    /// The value; an absent or empty field is an error.
    std::string required_text(std::string_view name);
    /// A whole number from `low` to `high`.
    std::uint64_t number(std::string_view name, std::uint64_t fallback, std::uint64_t low,
                         std::uint64_t high);
    /// A decimal number from `low` to `high`.
    double decimal(std::string_view name, double fallback, double low, double high);
    /// A time such as "250ms", "2s" or "3min", from `low` to `high`.
    duration time(std::string_view name, duration fallback, duration low, duration high);
    /// "yes" or "no".
    bool flag(std::string_view name, bool fallback);
    /// One of `allowed`.
    std::string one_of(std::string_view name, std::string_view fallback,
                       const std::vector<std::string_view>& allowed);
    /// Comma-separated values, with surrounding blanks removed.
    std::vector<std::string> list(std::string_view name);

    /// An IPv4 address and port, as 127.0.0.1:8080.
    endpoint address(std::string_view name, std::string_view fallback);
    /// Comma-separated IPv4 addresses and ports.
    std::vector<endpoint> addresses(std::string_view name);
    /// Names of the fields called `prefix` or `prefix.NAME`, in file order.
    std::vector<std::string> names_with_prefix(std::string_view prefix) const;
    /// True if the section contains the field.
    bool has(std::string_view name) const;
    /// Records an error for the value of field `name`, unless there is one already.
    void reject(std::string_view name, std::string_view allowed);
    /// The first error, if any.
    std::optional<ini_error> finish() const;

private:
    const ini_field* find(std::string_view name);

    const ini_file& file_;
    const ini_section& section_;
    std::vector<std::string> known_fields_;
    std::optional<ini_error> error_;
};

/// The section `name`, or null.
const ini_section* find_section(const ini_file& file, std::string_view name);

} // namespace jasminebank
