#pragma once

// Idempotency keys between the nodes: an entry claims the key of a request at the key's coordinator
// before it sends the request anywhere, and tells the coordinator afterwards what became of it. A
// claim whose answer is lost is sent again for the same attempt, so a loss costs time and no run. A
// claim that stays without an answer is taken back.

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

/// Control messages of this module.
constexpr std::string_view idempotency_path = "/control/once";

/// Who holds the mandate of the shard of a key, as this node knows it.
struct key_coordinator {
    std::uint32_t shard = 0;
    vm_id vm = {};
    endpoint link = {};
    std::uint64_t epoch = 0; ///< 1 for the first mandate ever of the shard
    bool is_self = false;
    time_point lease_until = {}; ///< own mandate only: its proved end, without any reserve
    time_point lease_began =
        {}; ///< own mandate only: when the write that took it over was sent, or later
};

/// Nothing if no coordinator is known. Runs on the hub's thread, too; must not block.
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
    std::size_t max_pending_completions = 4096; ///< not yet confirmed; more are dropped
    /// No request runs later than this after its claim; less than the retention.
    duration grant_lifetime = std::chrono::minutes(9);
};

/// What a request is to its caller.
struct keyed_request {
    idempotency_key key = {};
    std::uint64_t fingerprint = 0;
    std::optional<wall_time> key_created = {};
};

/// Answer to a claim. With `claim_granted`, the caller must settle it.
struct claim_result {
    claim_answer answer;
    idempotency_claim claim;
    key_coordinator coordinator;
    time_point deadline; ///< the request must not run later
};

/// Thread-safe. The hub must be stopped before this is destroyed.
class idempotency_service {
public:
    idempotency_service(idempotency_service_options options, link_hub& links);

    /// Asks the key's coordinator. Blocks until it has answered or all tries have failed, which
    /// counts as `claim_refusal::not_coordinator`. Not on the hub's thread.
    claim_result claim(const keyed_request& request, time_point deadline);
    /// Tells the coordinator what became of a granted request; does not wait.
    void report_outcome(const claim_result& it, claim_outcome outcome, int status);

    /// Answers a control message.
    std::optional<std::string> handle_message(const std::string& payload);
    /// All runs of `vm` before `first_live_run` are gone.
    void mark_claims_unknown(vm_id vm, incarnation first_live_run);
    /// Sends settlements again and drops what is old. Call it each 50 ms or so.
    void tick(time_point now);

private:
    struct pending_completion {
        key_coordinator coordinator;
        claim_completion message;
        time_point next_send;
        std::size_t tries = 0;
    };
    using completion_table = std::map<std::uint64_t, pending_completion>; // by own number

    claim_answer handle_claim(const idempotency_claim& it);
    void handle_completion(const claim_completion& it);
    idempotency_register* own_register(const idempotency_key& key, clock_reading now);
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
