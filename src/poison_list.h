#pragma once

// Requests that crash the backend servers which run them. Once two servers (victims) have crashed
// on requests with the same fingerprint, every node refuses that fingerprint until the entries
// expire; the victims are not ejected for these crashes. Nodes exchange their victim lists. Merging
// is commutative and idempotent, so the order and number of the messages make no difference.

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace jasminebank {

/// Identifies equal requests: a digest of organisation, route, method, and request id or body.
struct request_fingerprint {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const request_fingerprint&) const = default;
};

/// `content` is the caller's request id or, if there is none, the digest of the body.
request_fingerprint fingerprint_of(organisation_id organisation, route_id route,
                                   std::string_view method, std::string_view content);

/// One backend server process that crashed while it ran the request. `remaining` is the time until
/// the entry expires: a relative time, since the clocks of two VMs are not comparable.
struct poison_victim {
    request_fingerprint fingerprint;
    backend_server_id server;
    incarnation run; ///< of the backend server's process, or its crashes counted by the gate
    duration remaining{};
};

/// Bounds of a poison list.
struct poison_list_options {
    std::size_t victims_to_refuse = 2;
    duration lifetime = std::chrono::minutes(10); ///< from the crash to the entry's expiry
    std::size_t max_victims = 1024; ///< beyond it, those that expire first are dropped
};

/// The victims that one node knows. Not thread-safe.
class poison_list {
public:
    explicit poison_list(const poison_list_options& options = {});

    /// Adds a backend server that crashed while it ran the request. True if the entry is new, so
    /// that it must be sent to the other nodes.
    bool on_server_crash(request_fingerprint fingerprint, backend_server_id server, incarnation run,
                         time_point now);
    /// Merges the entries received from another node. True if any of them is new.
    bool merge(const std::vector<poison_victim>& received, time_point now);
    /// All entries that have not expired, to be sent to other nodes.
    std::vector<poison_victim> entries(time_point now) const;

    /// The number of unexpired victims of the request. With one, the request may be retried only
    /// once more; with `victims_to_refuse`, it is not run at all.
    std::size_t victim_count(request_fingerprint fingerprint, time_point now) const;
    bool is_refused(request_fingerprint fingerprint, time_point now) const;
    /// Time until the request is no longer refused; zero if it is not refused.
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
    std::vector<entry> entries_; // sorted by all fields but `expires`
};

} // namespace jasminebank
