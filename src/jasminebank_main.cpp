// jasminebank: command-line tool for operators.

#include "command_line.h"
#include "operator_command.h"

#include <fmt/format.h>

#include <array>
#include <cstdio>

namespace {

using namespace jasminebank;

constexpr std::string_view program_version = "0.1.0";

constexpr std::array options_of_command{
    command_line_option{"store", "A:P[,A:P]", "the platform's key-value store"},
    command_line_option{"node", "A:P[,A:P]", "control addresses of nodes"},
    command_line_option{"json", "", "show: print JSON"},
    command_line_option{"replace", "", "apply: remove sections that are not in the files"},
    command_line_option{"insist", "", "apply: accept files made from another generation"},
    command_line_option{"version", "", "print the version"},
};

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> words;
    const auto line = parse_command_line(argc, argv, options_of_command, &words);
    if (failed(line)) {
        fmt::print(stderr, "{}\n", describe(error_of(line)));
        return static_cast<int>(command_exit::usage);
    }
    if (wants_help(value_of(line))) {
        fmt::print("{}\n{}", help_text("jasminebank [OPTION...] COMMAND ...", options_of_command),
                   command_help());
        return 0;
    }
    const ini_file place{.name = "command line", .sections = {}};
    field_reader in(place, value_of(line));
    if (in.flag("version", false)) {
        fmt::print("jasminebank {}\n", program_version);
        return 0;
    }
    operator_options options;
    options.store = in.addresses("store");
    options.nodes = in.addresses("node");
    options.json = in.flag("json", false);
    options.replace = in.flag("replace", false);
    options.insist = in.flag("insist", false);
    if (const auto wrong = in.finish()) {
        fmt::print(stderr, "{}\n", describe(*wrong));
        return static_cast<int>(command_exit::usage);
    }
    return static_cast<int>(run_command(words, options));
}
