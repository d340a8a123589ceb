#pragma once

// Compares the responses that callers received with the requests that backend servers ran. The
// account of a fake backend server is its record of the requests that it ran.

#include "load_generator.h"
#include "result.h"
#include "run_account.h"

#include <span>
#include <string>
#include <vector>

namespace jasminebank {

/// Violations of the execution guarantees in one load run, as numbers of requests.
struct run_violations {
    std::uint64_t refused_but_run = 0;   ///< the response said that the request did not run
    std::uint64_t run_twice = 0;         ///< a non-idempotent request started more than once
    std::uint64_t whole_but_not_run = 0; ///< complete ok response without a run; only if `complete`
    std::uint64_t foreign = 0;           ///< ran for another organisation, or `run_entry::mixed`
    std::vector<std::string> examples{}; ///< at most 20, as "request id: violation"
    /// False when a bounded table of recorded requests or runs was full, or an account is missing:
    /// 0 violations then prove nothing.
    bool complete = true;

    std::uint64_t total() const
    {
        return refused_but_run + run_twice + whole_but_not_run + foreign;
    }
};

struct run_check_options {
    bool idempotent = false;       ///< requests may run more than once
    std::size_t lost_accounts = 0; ///< backend servers whose accounts were lost in a crash
};

/// Checks the requests recorded in `report` against the sum of all accounts.
run_violations check_runs(const load_report& report, std::span<const run_report> accounts,
                          const run_check_options& options);

/// Why an account could not be fetched.
struct account_error {
    std::string reason;
};

/// Fetches the account of a fake backend server.
result<run_report, account_error> fetch_account(const endpoint& from);

} // namespace jasminebank
