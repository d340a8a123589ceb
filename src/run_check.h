#pragma once

// Holds what callers were told against what backend servers really ran.

#include "load_generator.h"
#include "result.h"
#include "run_account.h"

#include <span>
#include <string>
#include <vector>

namespace jasminebank {

/// Broken promises of one run. All counts are of requests.
struct run_violations {
    std::uint64_t refused_but_run = 0;   ///< the answer said not-run
    std::uint64_t run_twice = 0;         ///< more than one start of a non-idempotent request
    std::uint64_t whole_but_not_run = 0; ///< an answer without a run; judged only with all accounts
    std::uint64_t foreign = 0;           ///< run for another organisation than the caller's
    std::vector<std::string> examples{}; ///< at most 20, as "request id: what was broken"
    /// False when a table was full or an account is missing: no violation then proves nothing.
    bool complete = true;

    std::uint64_t total() const
    {
        return refused_but_run + run_twice + whole_but_not_run + foreign;
    }
};

struct run_check_options {
    bool idempotent = false;       ///< the requests may run more than once
    std::size_t lost_accounts = 0; ///< backend servers that died with their accounts
};

/// Checks the requests that `report` kept against all accounts together.
run_violations check_runs(const load_report& report, std::span<const run_report> accounts,
                          const run_check_options& options);

/// Why an account could not be had.
struct account_error {
    std::string reason;
};

/// Asks a fake backend server for its account.
result<run_report, account_error> fetch_account(const endpoint& from);

} // namespace jasminebank
