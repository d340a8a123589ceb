#pragma once

// What a fake backend server really ran and saw: the ground truth against which tests hold the
// promises that a request runs at most once, that a refused one did not run, and that no caller's
// key reaches a backend server. All tables are bounded and tell when they were full.

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jasminebank {

/// One request id or idempotency key.
struct run_entry {
    std::string id;
    std::uint64_t runs = 0;   ///< times that the work was started
    std::string organisation; ///< of the first run
    std::string method;       ///< of the first run
    bool mixed = false;       ///< a later run came with another organisation or method
};

/// Everything that was run. `complete` is false when a table was full and an entry was lost.
struct run_report {
    std::vector<run_entry> by_request{};         ///< by X-Request-Id
    std::vector<run_entry> by_idempotency_key{}; ///< by Idempotency-Key
    std::uint64_t runs = 0;                      ///< in all
    bool complete = true;
};

/// How often a text was seen in a header or request line.
struct line_search_result {
    std::uint64_t lines = 0; ///< distinct header lines or request targets that hold the text
    bool complete = true;    ///< false: the table was full, so 0 proves nothing
};

/// Bounds of the tables.
struct account_options {
    std::size_t max_entries = 500'000;                ///< in each of the two run tables
    std::size_t max_line_bytes = 64ULL * 1024 * 1024; ///< of distinct header lines
};

/// Thread-safe.
class run_account {
public:
    explicit run_account(account_options options = {}) : options_(options) {}

    /// Counts one start of work. Empty ids are counted in the total only.
    void count_run(const std::string& request_id, const std::string& idempotency_key,
                   const std::string& organisation, const std::string& method);
    /// Keeps a header or request target.
    void record_line(std::string_view name, std::string_view value);

    run_report report() const;
    line_search_result find_lines(std::string_view text) const;
    /// Times that this request id was run.
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
