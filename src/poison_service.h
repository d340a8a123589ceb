#pragma once

// The poison list at work: deaths of backend servers are told to all nodes over links.

#include "link_hub.h"
#include "member_directory.h"
#include "poison_list.h"

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// Path of the control message that tells of victims.
constexpr std::string_view poison_path = "/control/poison";

/// Thread-safe.
class poison_service {
public:
    poison_service(vm_id self, link_hub& links);

    void set_directory(const member_directory& directory);
    /// A backend server died while it ran the request: told to all members if it is news.
    void on_death(request_fingerprint fingerprint, backend_server_id server, incarnation run);
    /// Takes what another node told.
    std::string receive_victims(std::string_view payload);
    /// Time until requests like this are no longer refused; zero when they are not.
    duration remaining_refusal(request_fingerprint fingerprint) const;

private:
    const vm_id self_;
    link_hub& links_;
    mutable std::mutex mutex_;
    poison_list list_;
    std::vector<endpoint> peers_;
};

} // namespace jasminebank
