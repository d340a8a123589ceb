#pragma once

// Shares the poison list among the nodes: sends crashes of backend servers to all members by links.

#include "link_hub.h"
#include "member_directory.h"
#include "poison_list.h"

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// Path of the control message that carries a victim list.
constexpr std::string_view poison_path = "/control/poison";

/// Thread-safe.
class poison_service {
public:
    poison_service(vm_id self, link_hub& links);

    void set_directory(const member_directory& directory);
    /// Records that a backend server crashed while it ran the request, and sends the list to all
    /// members if the entry is new.
    void on_server_crash(request_fingerprint fingerprint, backend_server_id server,
                         incarnation run);
    /// Merges a list of victims, the backend servers that crashed on a request, received from
    /// another node; a malformed one is ignored. The answer is empty.
    std::string receive_victims(std::string_view payload);
    /// Merges victims that a peer told this node at its start.
    void merge(const std::vector<poison_victim>& victims);
    std::vector<poison_victim> victims() const;
    /// Time until requests with this fingerprint are no longer refused; zero if they are not
    /// refused.
    duration remaining_refusal(request_fingerprint fingerprint) const;

private:
    const vm_id self_;
    link_hub& links_;
    mutable std::mutex mutex_;
    poison_list list_;
    std::vector<endpoint> peers_;
};

} // namespace jasminebank
