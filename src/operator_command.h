#pragma once

// What the operators' command line does: checks, shows and changes the configuration in the store,
// gives and withdraws keys, and asks nodes for their state.

#include "config_store.h"
#include "endpoint.h"
#include "store_client.h"

#include <string>
#include <vector>

namespace jasminebank {

struct operator_options {
    std::vector<endpoint> store;
    std::vector<endpoint> nodes; ///< control addresses
    bool json = false;
    bool replace = false; ///< apply: what is not in the files is removed
    bool insist = false;  ///< apply: also what was made from an older generation
};

/// Exit codes of the command line.
enum class command_exit : std::uint8_t {
    done = 0,
    rejected = 1,    ///< the input is wrong; nothing was written
    usage = 2,       ///< the call is wrong
    conflict = 3,    ///< another operator's change came first; nothing was written
    unreachable = 4, ///< the store or a node could not be reached; nothing was written
    unknown = 5,     ///< whether the change took effect could not be learned
};

/// One line of the help for each command.
std::string command_help();

/// Runs `words`, a command and its arguments; prints to standard output, errors to standard error.
command_exit run_command(const std::vector<std::string>& words, const operator_options& options);

} // namespace jasminebank
