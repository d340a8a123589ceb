#pragma once

// Records which requests a fake backend server ran and which header lines it received. Tests use it
// to verify that a request runs at most once, that a request refused as not run did not run, and
// that no caller's API key reaches a backend server. All tables are bounded; a report says whether
// an entry was dropped because a table was full.

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jasminebank {

/// Runs of one request id or idempotency key.
struct run_entry {
    std::string id;
    std::uint64_t runs = 0;   ///< number of times that a request with this id started to run
    std::string organisation; ///< of the first run
    std::string method;       ///< of the first run
    bool mixed = false;       ///< a later run had another organisation or method
};

/// All recorded runs. `complete` is false when an entry was dropped because a table was full.
struct run_report {
    std::vector<run_entry> by_request{};         ///< by X-Request-Id
    std::vector<run_entry> by_idempotency_key{}; ///< by "organisation/Idempotency-Key"
    std::uint64_t runs = 0;                      ///< total, including runs without an id
    bool complete = true;
};

/// The number of recorded lines that contain a text.
struct line_search_result {
    std::uint64_t lines = 0; ///< distinct header lines and request targets that contain the text
    bool complete = true;    ///< false: lines were dropped, so 0 does not prove absence
};

/// Size limits of the tables.
struct account_options {
    std::size_t max_entries = 500'000;                ///< of each of the two run tables
    std::size_t max_line_bytes = 64ULL * 1024 * 1024; ///< total length of the distinct lines
};

/// Thread-safe record of runs and received header lines.
class run_account {
public:
    explicit run_account(account_options options = {}) : options_(options) {}

    /// Counts one run. A run with an empty id or key is missing in the table of that id or key, but
    /// is in the total.
    void count_run(const std::string& request_id, const std::string& idempotency_key,
                   const std::string& organisation, const std::string& method);
    /// Records a header or request target once, as "name: value".
    void record_line(std::string_view name, std::string_view value);

    run_report report() const;
    line_search_result find_lines(std::string_view text) const;
    /// Number of runs of a request id; 0 when none is recorded.
    std::uint64_t runs_of(const std::string& request_id) const;

private:
    using table = std::unordered_map<std::string, run_entry>;
    void count_run_in(table& in, const std::string& id, const std::string& organisation,
                      const std::string& method);

    account_options options_;
    mutable std::mutex mutex_;
    table by_request_;
    table by_idempotency_key_;
    std::uint64_t runs_ = 0;
    bool runs_complete_ = true;
    std::set<std::string, std::less<>> lines_;
    std::size_t line_bytes_ = 0;
    bool lines_complete_ = true;
};

} // namespace jasminebank
