#pragma once

// Formats the results of a load run as text, JSON or HTML.

#include "load_generator.h"

#include "run_check.h"

#include <optional>
#include <string>

namespace jasminebank {

/// Results of a run and, if that one went through nodes and a comparison was requested, of a second
/// run with the same load sent directly to backend servers.
struct load_comparison {
    load_report run;
    std::optional<load_report> direct;
    std::optional<run_violations> violations{}; ///< in `run`; set if accounts were checked
};

/// Returns a table of all organisations, the reasons of answers that are not ok, and the latency
/// that nodes add to a direct request.
std::string text_report(const load_comparison& it);

/// Returns the same figures as one JSON object, with times in milliseconds.
std::string json_report(const load_comparison& it);

/// Returns the same figures as a self-contained HTML page with a latency histogram for each
/// organisation.
std::string html_report(const load_comparison& it);

} // namespace jasminebank
