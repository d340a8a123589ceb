#pragma once

// Shares the poison list among the nodes: sends crashes of backend servers to all members by links,
// and saves those that this node's gate observed for later runs.

#include "link_hub.h"
#include "member_directory.h"
#include "poison_list.h"
#include "saved_victims.h"

#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// Path of the control message that carries a victim list.
constexpr std::string_view poison_path = "/control/poison";

struct poison_service_options {
    vm_id self;
    /// Called when the value of `saved` has changed. May block: a request waits for it.
    std::function<void()> save = [] {};
};

/// Thread-safe.
class poison_service {
public:
    poison_service(poison_service_options options, link_hub& links);

    /// Merges what earlier runs of this node and of the other nodes saved. An entry that cannot be
    /// read is logged and ignored.
    void restore(const std::string& own, const std::vector<std::string>& others);
    void set_directory(const member_directory& directory);
    /// Records that a backend server crashed while it ran the request. If the entry is new, sends
    /// the list to all members, then saves it. Call it before the request may be tried again.
    void on_server_crash(request_fingerprint fingerprint, backend_server_id server,
                         incarnation run);
    /// Merges a list of victims, the backend servers that crashed on a request, received from
    /// another node; a malformed one is ignored. The answer is empty.
    std::string receive_victims(std::string_view payload);
    /// Merges victims that a peer told this node at its start.
    void merge(const std::vector<poison_victim>& victims);
    std::vector<poison_victim> victims() const;
    /// What `restore` of the next run takes as `own`.
    std::string saved() const;
    /// Time until requests with this fingerprint are no longer refused; zero if they are not
    /// refused.
    duration remaining_refusal(request_fingerprint fingerprint) const;

private:
    const poison_service_options options_;
    link_hub& links_;
    mutable std::mutex mutex_;
    poison_list list_;
    saved_victims saved_;
    std::vector<endpoint> peers_;
};

} // namespace jasminebank
