#pragma once

// Idempotency keys across nodes: before the entry node of a request dispatches it, it claims the
// request's key at the key's coordinator; afterwards it reports the outcome to that coordinator. A
// claim whose answer is lost is resent for the same attempt, so a loss delays the request but does
// not prevent it from running. A claim that remains unanswered is withdrawn.

#include "endpoint.h"
#include "link_hub.h"
#include "once_codec.h"
#include "once_register.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace jasminebank {

/// Path of the control messages of this module.
constexpr std::string_view idempotency_path = "/control/once";

/// The holder of the lease of a key's shard, as known to this node.
struct key_coordinator {
    std::uint32_t shard = 0;
    vm_id vm = {};
    endpoint link = {};
    std::uint64_t epoch = 0; ///< 1 for the first lease of the shard
    bool is_self = false;
    time_point lease_until = {}; ///< own lease only: its proved end, without any safety margin
    time_point lease_began = {}; ///< own lease only: when its acquiring write was sent, or later
    /// Own lease only: until then, another node may have coordinated the keys of the organisation,
    /// because its regions or those of a route have changed.
    std::optional<time_point> placed = {};
};

/// Finds the coordinator of a key; nullopt if none is known. Also called on the hub's thread, so it
/// must not block.
using key_coordinator_finder =
    std::function<std::optional<key_coordinator>(const idempotency_key&)>;

struct idempotency_service_options {
    vm_id self = {};
    incarnation run = {};
    key_coordinator_finder find_coordinator = {};
    idempotency_register_options register_options = {}; ///< of each shard
    duration try_timeout = std::chrono::milliseconds(500);
    std::size_t max_claim_tries = 3;
    duration completion_resend_interval = std::chrono::milliseconds(500);
    std::size_t max_completion_tries = 20;
    std::size_t max_pending_completions = 4096; ///< not yet confirmed; others are dropped
    /// A request must not run later than this after its claim. Less than the retention.
    duration grant_lifetime = std::chrono::minutes(9);
};

/// A request with an idempotency key, as its caller identified it.
struct keyed_request {
    idempotency_key key = {};
    std::uint64_t fingerprint = 0;
    std::optional<wall_time> key_created = {};
};

/// Result of a claim. After `claim_granted`, the outcome must be reported.
struct claim_result {
    claim_answer answer;
    idempotency_claim claim;
    key_coordinator coordinator;
    time_point deadline; ///< the request must not run after this time
};

/// Thread-safe. The hub must be stopped before this is destroyed.
class idempotency_service {
public:
    idempotency_service(idempotency_service_options options, link_hub& links);

    /// Claims the key at its coordinator. Blocks until the coordinator has answered or all tries
    /// have failed, which counts as `claim_refusal::not_coordinator`. Must not be called on the
    /// hub's thread.
    claim_result claim(const keyed_request& request, time_point deadline);
    /// Reports the outcome of a granted request to the coordinator, without waiting for the
    /// confirmation.
    void report_outcome(const claim_result& it, claim_outcome outcome, int status);

    /// Handles a control message and returns its answer; nullopt if the message is malformed.
    std::optional<std::string> handle_message(const std::string& payload);
    /// The incarnations of `vm` before `first_live_run` have ended: their running claims become
    /// unknown.
    void mark_claims_unknown(vm_id vm, incarnation first_live_run);
    /// Resends unconfirmed completions and drops expired entries. To be called about every 50 ms.
    void tick(time_point now);

private:
    struct pending_completion {
        key_coordinator coordinator;
        claim_completion message;
        time_point next_send;
        std::size_t tries = 0;
    };
    using completion_table = std::map<std::uint64_t, pending_completion>; // by completion number

    claim_answer handle_claim(const idempotency_claim& it);
    void handle_completion(const claim_completion& it);
    idempotency_register* own_register(const std::optional<key_coordinator>& coordinator,
                                       clock_reading now);
    std::optional<claim_answer> send_claim(const key_coordinator& coordinator,
                                           const idempotency_claim& it, duration timeout);
    void report_completion(const key_coordinator& coordinator, const claim_completion& it);
    void send_completion(std::uint64_t number, const pending_completion& it);

    const idempotency_service_options options_;
    link_hub& links_;
    std::mutex mutex_;
    std::map<std::uint32_t, idempotency_register> registers_; // by shard
    std::uint64_t last_attempt_number_ = 0;
    std::uint64_t last_completion_number_ = 0;
    completion_table pending_;
};

} // namespace jasminebank
