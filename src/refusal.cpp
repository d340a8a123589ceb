#include "refusal.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace jasminebank {

namespace {

struct refusal_row {
    refusal reason;
    std::string_view name;
    int status;
};

constexpr std::array rows{
    refusal_row{refusal::bad_request, "bad_request", 400},
    refusal_row{refusal::no_key, "no_key", 401},
    refusal_row{refusal::unknown_key, "unknown_key", 401},
    refusal_row{refusal::no_route, "no_route", 404},
    refusal_row{refusal::not_allowed, "not_allowed", 403},
    refusal_row{refusal::over_rate, "over_rate", 429},
    refusal_row{refusal::no_backend_server, "no_backend_server", 503},
    refusal_row{refusal::overloaded, "overloaded", 503},
    refusal_row{refusal::cut_off, "cut_off", 503},
    refusal_row{refusal::no_configuration, "no_configuration", 503},
    refusal_row{refusal::deadline, "deadline", 504},
    refusal_row{refusal::poison, "poison", 503},
    refusal_row{refusal::stopping, "stopping", 503},
    refusal_row{refusal::duplicate, "duplicate", 409},
    refusal_row{refusal::backend_server_error, "backend_server_error", 502},
    refusal_row{refusal::shed, "shed", 503},
    refusal_row{refusal::suspect, "suspect", 503},
    refusal_row{refusal::body_too_large, "body_too_large", 413},
    refusal_row{refusal::register_unavailable, "register_unavailable", 503},
    refusal_row{refusal::limits_unavailable, "limits_unavailable", 503},
    refusal_row{refusal::caller_left, "caller_left", 504},
    refusal_row{refusal::no_region, "no_region", 503},
    refusal_row{refusal::evacuated, "evacuated", 503},
    refusal_row{refusal::no_time, "no_time", 503},
    refusal_row{refusal::outdated_configuration, "outdated_configuration", 503},
};

constexpr std::array<std::string_view, 3> state_names{"not-run", "ran", "unknown"};
constexpr std::string_view reason_mark = "; reason=";

const refusal_row& row_of(refusal reason)
{
    return rows.at(static_cast<std::size_t>(reason));
}

} // namespace

int status_of(refusal reason)
{
    return row_of(reason).status;
}

std::string_view name_of(refusal reason)
{
    return row_of(reason).name;
}

std::string_view name_of(run_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

std::string outcome_text(const refusal_answer& it)
{
    return fmt::format("{}{}{}", name_of(it.state), reason_mark, name_of(it.reason));
}

std::optional<refusal_answer> parse_outcome(std::string_view text)
{
    const std::size_t mark = text.find(reason_mark);
    if (mark == std::string_view::npos)
        return std::nullopt;
    const auto state = std::find(state_names.begin(), state_names.end(), text.substr(0, mark));
    const std::string_view name = text.substr(mark + reason_mark.size());
    const auto row = std::find_if(rows.begin(), rows.end(),
                                  [&](const refusal_row& it) { return it.name == name; });
    if (state == state_names.end() || row == rows.end())
        return std::nullopt;
    return refusal_answer{.reason = row->reason,
                          .state = static_cast<run_state>(state - state_names.begin())};
}

// Only refusals that concern one backend server or gate; one that concerns the request itself would
// be the same everywhere.
bool may_try_elsewhere(const refusal_answer& it)
{
    if (it.state != run_state::not_run)
        return false;
    return it.reason == refusal::overloaded || it.reason == refusal::stopping ||
           it.reason == refusal::shed || it.reason == refusal::suspect ||
           it.reason == refusal::no_backend_server || it.reason == refusal::evacuated ||
           it.reason == refusal::no_time;
}

} // namespace jasminebank
