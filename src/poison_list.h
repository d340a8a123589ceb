#pragma once

// Requests that kill backend servers. A fingerprint that two victims died of is refused for a while
// on every node; its victims are not ejected for it. Nodes tell each other their victims; what is
// kept does not depend on the order or number of tellings.

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace jasminebank {

/// What makes two requests the same: organisation, route, method, and request id or body.
struct request_fingerprint {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const request_fingerprint&) const = default;
};

/// `content` is the caller's request id or, without one, the digest of the body.
request_fingerprint fingerprint_of(organisation_id organisation, route_id route,
                                   std::string_view method, std::string_view content);

/// One backend server process that died while it ran the request. `remaining` is the time until the
/// entry expires, since clocks of two VMs are not compared.
struct poison_victim {
    request_fingerprint fingerprint;
    backend_server_id server;
    incarnation run; ///< of the backend server's process, or the gate's count of its deaths
    duration remaining{};
};

/// Bounds of a poison list.
struct poison_list_options {
    std::size_t victims_to_refuse = 2;
    duration lifetime = std::chrono::minutes(10); ///< of one victim's entry
    std::size_t max_victims = 1024;               ///< those that expire first are dropped beyond it
};

/// The victims that one node knows of.
class poison_list {
public:
    explicit poison_list(const poison_list_options& options = {});

    /// A backend server died while it ran the request. True when that is news for other nodes.
    bool on_death(request_fingerprint fingerprint, backend_server_id server, incarnation run,
                  time_point now);
    /// Takes what another node told. True when it is news, to be passed on.
    bool merge(const std::vector<poison_victim>& received, time_point now);
    /// All that is known, to tell another node.
    std::vector<poison_victim> entries(time_point now) const;

    /// Victims now; with one, a retry is the last. A request to be refused is not run.
    std::size_t victim_count(request_fingerprint fingerprint, time_point now) const;
    bool is_refused(request_fingerprint fingerprint, time_point now) const;
    /// Time until the request is no longer refused; zero when it is not.
    duration remaining_refusal(request_fingerprint fingerprint, time_point now) const;

private:
    struct entry {
        request_fingerprint fingerprint;
        backend_server_id server;
        incarnation run;
        time_point expires;
    };

    bool insert_or_extend(const entry& it, time_point now);

    poison_list_options options_;
    std::vector<entry> entries_; // sorted by all but `expires`
};

} // namespace jasminebank
