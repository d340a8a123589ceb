#pragma once

// Asks peers after the start for what they know of this node's earlier runs, see recall_plan.h.

#include "link_hub.h"
#include "member_directory.h"
#include "recall_codec.h"
#include "recall_plan.h"

#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace jasminebank {

/// Path of the question, a control message with an empty payload.
constexpr std::string_view recall_path = "/control/recall";

struct recall_service_options {
    recall_options plan;
    duration timeout = std::chrono::seconds(1); ///< of one question
    /// Called with each answer, on a link thread.
    std::function<void(const recalled_facts&)> on_recalled;
};

/// Thread-safe.
class recall_service {
public:
    recall_service(recall_service_options options, link_hub& links);

    void set_directory(const member_directory& directory);

private:
    void ask_peers();
    void finish(const member_record& peer, const result<std::string, link_error>& answer);

    const recall_service_options options_;
    link_hub& links_;
    std::mutex mutex_;
    recall_plan plan_;
    member_directory directory_;
};

} // namespace jasminebank
