#pragma once

// A load run as text, JSON or a page with pictures.

#include "load_generator.h"

#include "run_check.h"

#include <optional>
#include <string>

namespace jasminebank {

/// A run through nodes, and perhaps the same demand sent to a backend server directly.
struct load_comparison {
    load_report run;
    std::optional<load_report> direct;
    std::optional<run_violations> violations{}; ///< of the first run, when accounts were asked for
};

/// A table of all organisations, then reasons, then what the nodes add to a direct call.
std::string text_report(const load_comparison& it);

/// The same figures as one JSON object; times in milliseconds.
std::string json_report(const load_comparison& it);

/// The same as one HTML page without outside parts, with a histogram for each organisation.
std::string html_report(const load_comparison& it);

} // namespace jasminebank
