#include "run_account.h"

#include <fmt/format.h>

#include <algorithm>

namespace jasminebank {

void run_account::count_run_in(table& in, const std::string& id, const std::string& organisation,
                               const std::string& method)
{
    if (id.empty())
        return;
    auto it = in.find(id);
    if (it == in.end()) {
        if (in.size() >= options_.max_entries) {
            runs_complete_ = false;
            return;
        }
        run_entry entry{.id = id, .organisation = organisation, .method = method};
        it = in.emplace(id, std::move(entry)).first;
    }
    run_entry& entry = it->second;
    ++entry.runs;
    entry.mixed = entry.mixed || entry.organisation != organisation || entry.method != method;
}

// Idempotency keys are scoped to an organisation: the same key from two organisations makes two
// entries.
void run_account::count_run(const std::string& request_id, const std::string& idempotency_key,
                            const std::string& organisation, const std::string& method)
{
    const std::lock_guard lock(mutex_);
    ++runs_;
    count_run_in(by_request_, request_id, organisation, method);
    if (!idempotency_key.empty())
        count_run_in(by_idempotency_key_, organisation + "/" + idempotency_key, organisation,
                     method);
}

void run_account::record_line(std::string_view name, std::string_view value)
{
    std::string line = fmt::format("{}: {}", name, value);
    const std::lock_guard lock(mutex_);
    if (lines_.contains(line))
        return;
    if (line_bytes_ + line.size() > options_.max_line_bytes) {
        lines_complete_ = false;
        return;
    }
    line_bytes_ += line.size();
    lines_.insert(std::move(line));
}

run_report run_account::report() const
{
    const std::lock_guard lock(mutex_);
    run_report out{.runs = runs_, .complete = runs_complete_};
    for (const auto& [id, entry] : by_request_)
        out.by_request.push_back(entry);
    for (const auto& [id, entry] : by_idempotency_key_)
        out.by_idempotency_key.push_back(entry);
    const auto by_id = [](const run_entry& a, const run_entry& b) { return a.id < b.id; };
    std::sort(out.by_request.begin(), out.by_request.end(), by_id);
    std::sort(out.by_idempotency_key.begin(), out.by_idempotency_key.end(), by_id);
    return out;
}

line_search_result run_account::find_lines(std::string_view text) const
{
    const std::lock_guard lock(mutex_);
    line_search_result out{.complete = lines_complete_};
    for (const std::string& it : lines_) {
        if (it.find(text) != std::string::npos)
            ++out.lines;
    }
    return out;
}

std::uint64_t run_account::runs_of(const std::string& request_id) const
{
    const std::lock_guard lock(mutex_);
    const auto it = by_request_.find(request_id);
    return it == by_request_.end() ? 0 : it->second.runs;
}

} // namespace jasminebank
