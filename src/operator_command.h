#pragma once

// Commands of the operators' command-line tool: validate, show and change the configuration in the
// store, create and revoke API keys, and query the state of nodes.

#include "config_store.h"
#include "endpoint.h"
#include "store_client.h"

#include <string>
#include <vector>

namespace jasminebank {

struct operator_options {
    std::vector<endpoint> store;
    std::vector<endpoint> nodes; ///< control addresses to query
    bool json = false;
    bool replace = false; ///< apply: remove sections that are not in the files
    bool insist = false;  ///< apply: accept files from another generation
};

/// Exit codes of the command line.
enum class command_exit : std::uint8_t {
    done = 0,
    rejected = 1,    ///< the input is invalid; nothing was written
    usage = 2,       ///< the command line is invalid
    conflict = 3,    ///< a concurrent or earlier change conflicts; nothing was written
    unreachable = 4, ///< the store or a node could not be reached; nothing was written
    unknown = 5,     ///< the store's response was lost; the change may be in effect
};

/// Returns the help text of all commands.
std::string command_help();

/// Runs the command `words[0]` with the arguments that follow it. Prints results to standard output
/// and errors to standard error.
command_exit run_command(const std::vector<std::string>& words, const operator_options& options);

} // namespace jasminebank
