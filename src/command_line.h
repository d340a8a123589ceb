#pragma once

// Parses the command lines of all programs with getopt_long into an INI section, so that the same
// code validates options and settings and reports errors in the same form.

#include "ini_file.h"

#include <span>
#include <string>
#include <string_view>

namespace jasminebank {

/// One long option. Flags take no value on the command line and get the value "yes".
struct command_line_option {
    std::string_view name;
    std::string_view value;   ///< placeholder of the value in the help text; empty for a flag
    std::string_view meaning; ///< description in the help text, one line
};

/// Parses options into the fields of one section. The values of a repeated option are joined with
/// commas into one field. Other arguments are stored in `positional`; if it is nullptr, they are an
/// error.
result<ini_section, ini_error> parse_command_line(int argc, char** argv,
                                                  std::span<const command_line_option> options,
                                                  std::vector<std::string>* positional = nullptr);

/// Returns the help text: a usage line, then a line for each option.
std::string help_text(std::string_view usage, std::span<const command_line_option> options);

/// Returns whether `--help` is among the options.
bool wants_help(const ini_section& it);

} // namespace jasminebank
