#pragma once

// Idempotency keys between the nodes: an entry claims the key of a request at the key's home before
// it sends the request anywhere, and tells the home afterwards what became of it. A claim whose
// answer is lost is sent again for the same attempt, so a loss costs time and no run. A claim that
// stays without an answer is taken back.

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
constexpr std::string_view once_path = "/control/once";

/// Who holds the mandate of the shard of a key, as this node knows it.
struct once_home {
    std::uint32_t shard = 0;
    vm_id vm = {};
    endpoint link = {};
    std::uint64_t epoch = 0; ///< 1 for the first mandate ever of the shard
    bool is_self = false;
    time_point until = {}; ///< own mandate only: its proved end, without any reserve
    time_point since =
        {}; ///< own mandate only: when the write that took it over was sent, or later
};

/// Nothing if no home is known. Runs on the hub's thread, too; must not block.
using once_home_finder = std::function<std::optional<once_home>(const once_key&)>;

struct once_service_options {
    vm_id self = {};
    incarnation run = {};
    once_home_finder find_home = {};
    once_register_options keys = {}; ///< of each shard
    duration try_timeout = std::chrono::milliseconds(500);
    std::size_t tries = 3;
    duration settle_every = std::chrono::milliseconds(500);
    std::size_t settle_tries = 20;
    std::size_t settlements = 4096; ///< not yet confirmed; more are dropped
    /// No request runs later than this after its claim; less than the retention.
    duration run_within = std::chrono::minutes(9);
};

/// What a request is to its caller.
struct once_request_identity {
    once_key key = {};
    std::uint64_t fingerprint = 0;
    std::optional<wall_time> made = {};
};

/// Answer to a claim. With `once_granted`, the caller must settle it.
struct once_ticket {
    once_answer answer;
    once_claim claim;
    once_home home;
    time_point deadline; ///< the request must not run later
};

/// Thread-safe. The hub must be stopped before this is destroyed.
class once_service {
public:
    once_service(once_service_options options, link_hub& links);

    /// Asks the key's home. Blocks until it has answered or all tries have failed, which counts as
    /// `once_refusal::not_home`. Not on the hub's thread.
    once_ticket claim(const once_request_identity& request, time_point deadline);
    /// Tells the home what became of a granted request; does not wait.
    void settle(const once_ticket& it, once_outcome outcome, int status);

    /// Answers a control message.
    std::optional<std::string> answer(const std::string& payload);
    /// All runs of `vm` before `first_alive` are gone.
    void claimers_gone(vm_id vm, incarnation first_alive);
    /// Sends settlements again and drops what is old. Call it each 50 ms or so.
    void tick(time_point now);

private:
    struct pending_settlement {
        once_home home;
        once_settlement message;
        time_point next;
        std::size_t tries = 0;
    };
    using settlement_table = std::map<std::uint64_t, pending_settlement>; // by own number

    once_answer answer_claim(const once_claim& it);
    void answer_settlement(const once_settlement& it);
    once_register* own_register(const once_key& key, once_moment now);
    std::optional<once_answer> ask(const once_home& home, const once_claim& it, duration timeout);
    void post(const once_home& home, const once_settlement& it);
    void send(std::uint64_t number, const pending_settlement& it);

    const once_service_options options_;
    link_hub& links_;
    std::mutex mutex_;
    std::map<std::uint32_t, once_register> registers_; // by shard
    std::uint64_t attempts_ = 0;
    std::uint64_t settlements_ = 0;
    settlement_table pending_;
};

} // namespace jasminebank
