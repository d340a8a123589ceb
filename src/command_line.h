#pragma once

// Command lines of the daemons and tools, read by getopt_long into the same shape as an INI
// section, so that one reader checks the values of both and words the errors alike.

#include "ini_file.h"

#include <span>
#include <string>
#include <string_view>

namespace jasminebank {

/// One long option. All take a value, but for flags, whose value is "yes" when they are given.
struct command_line_option {
    std::string_view name;
    std::string_view value;   ///< how the help names the value; empty for a flag
    std::string_view meaning; ///< one line of the help
};

/// The options that were given, as the fields of one section. An option that is given more than
/// once becomes one field with commas between its values. What is no option goes into `words`, and
/// is an error without it.
result<ini_section, ini_error> parse_command_line(int argc, char** argv,
                                                  std::span<const command_line_option> options,
                                                  std::vector<std::string>* positional = nullptr);

/// The help text: usage line, then a line for each option.
std::string help_text(std::string_view usage, std::span<const command_line_option> options);

/// True when `--help` was given.
bool wants_help(const ini_section& it);

} // namespace jasminebank
