#pragma once

// The entry side of the limits: decides for each request whether its organisation is within its
// rate, by tokens that holders granted. Small organisations ask for one token at a time; larger
// demand is asked for ahead. An organisation without tokens is refused here, without messages,
// until its holder expects the next one.

#include "demand_estimate.h"
#include "limit_messages.h"

#include <deque>
#include <map>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace jasminebank {

/// Request admitted.
struct limit_admitted {};
/// The request waits; a limit_outcome with this ticket follows, at the latest after max_wait.
struct limit_waiting {
    std::uint64_t ticket = 0;
};
/// Over the limit, or no holder answers. `retry_after` goes to the caller.
struct limit_refused {
    duration retry_after{};
    bool no_holder = false; ///< not the organisation's excess: nobody could grant
};

using limit_verdict = std::variant<limit_admitted, limit_waiting, limit_refused>;

/// End of a wait: limit_admitted or limit_refused.
struct limit_outcome {
    std::uint64_t ticket = 0;
    limit_verdict verdict;
};

using limit_outcomes = std::vector<limit_outcome>;

struct limit_entry_options {
    std::uint32_t shards = 16;
    std::uint32_t domain = 0;                      ///< index of the own failure domain
    std::size_t max_organisations = 4096;          ///< organisations with demand here
    std::size_t max_waiting = 1024;                ///< requests that wait, of all organisations
    std::size_t max_waiting_per_organisation = 64; ///< of one organisation
    duration max_wait = std::chrono::milliseconds(60);
    duration holder_wait = std::chrono::milliseconds(30); ///< how long a holder may look for tokens
    duration remote_holder_wait = std::chrono::milliseconds(12); ///< of a holder in another domain
    duration answer_timeout = std::chrono::milliseconds(34);
    duration waiting_grant_lifetime =
        std::chrono::milliseconds(75);                       ///< of tokens for waiting callers only
    duration prefetch_lifetime = max_token_lifetime;         ///< of tokens asked ahead
    duration prefetch_span = std::chrono::milliseconds(250); ///< demand that is asked ahead
    duration refill_span = std::chrono::milliseconds(30);    ///< demand left when more is asked for
    duration unresponsive_backoff =
        std::chrono::seconds(1); ///< a holder that didn't answer is asked last
};

/// Counters since the start.
struct limit_entry_counts {
    std::uint64_t admitted = 0;
    std::uint64_t waited = 0;
    std::uint64_t refused = 0;
    std::uint64_t no_holder = 0;
    std::uint64_t requests = 0;
};

class limit_entry {
public:
    explicit limit_entry(const limit_entry_options& options);

    /// Index of the own failure domain, when the configuration tells it.
    void set_domain(std::uint32_t domain) { options_.domain = domain; }
    /// Holders of a shard by index of their failure domain; vm 0 where none is known.
    void set_holders(std::uint32_t shard, std::span<const vm_id> holders);

    /// Decides for one request of the organisation of `contract`; its rate and burst are not used.
    limit_verdict admit(const rate_contract& contract, time_point now, limit_outbox& out);
    void receive(limit_peer from, const grant& message, time_point now, limit_outbox& out,
                 limit_outcomes& ended);
    /// The link to this node broke: what was asked of it is asked of another.
    void on_link_lost(vm_id holder, time_point now, limit_outbox& out, limit_outcomes& ended);
    /// The caller of a waiting request went away.
    void cancel(std::uint64_t ticket);
    /// Ends waits and returns unspent tokens; call when next_deadline() has come.
    void tick(time_point now, limit_outbox& out, limit_outcomes& ended);
    /// Holders that have left a request without an answer since the last call.
    std::vector<vm_id> take_unresponsive_holders() { return std::exchange(unresponsive_, {}); }
    /// When tick() has something to do; time_point::max() if nothing waits.
    time_point next_deadline() const;

    /// Tokens of one organisation that could be spent at `now`; for metrics and tests.
    std::uint32_t spendable(organisation_id organisation, time_point now) const;
    const limit_entry_counts& counts() const { return counts_; }

private:
    // Tokens granted. They are spent only before `until`, checked at each request.
    struct held_grant {
        std::uint64_t number = 0;
        vm_id holder;
        std::uint32_t tokens = 0;
        std::uint32_t spent = 0;
        time_point until;
        std::uint32_t unspent() const { return tokens - spent; }
        std::uint32_t usable(time_point now) const { return now < until ? unspent() : 0; }
    };

    struct pending_request {
        std::uint64_t number = 0;
        vm_id holder;
        std::uint32_t need = 0;
        std::uint32_t prefetch = 0;
        time_point sent;
        duration lifetime{};
        bool is_timed_out = false;
    };

    // Spending of a grant that is used up and not reported yet.
    struct spending_report {
        std::uint64_t number = 0;
        vm_id holder;
        std::uint32_t spent = 0;
    };

    struct waiting_caller {
        std::uint64_t ticket = 0;
        time_point until;
    };

    struct organisation_state {
        std::uint32_t home = no_home;
        demand_estimate demand;
        std::vector<held_grant> held_grants; // oldest first
        std::vector<pending_request> pending;
        std::deque<waiting_caller> waiting;
        spending_report exhausted_grant;
        time_point refused_until{};
        time_point no_prefetch_until{};

        std::uint32_t requested_tokens() const;
        std::size_t unanswered_requests() const;
        std::uint32_t usable_tokens(time_point now) const;
        bool is_busy() const
        {
            return !waiting.empty() || !pending.empty() || !held_grants.empty();
        }
    };

    struct holder_view {
        vm_id vm;
        time_point avoid_until{};
    };

    // One organisation in one call.
    struct context {
        organisation_id organisation;
        organisation_state& state;
        time_point now;
        limit_outbox& out;
    };

    organisation_state* find_or_add(organisation_id organisation, time_point now);
    static bool spend_token(organisation_state& it, time_point now);
    void request_tokens_if_low(context& at);
    bool is_remote(const context& at, vm_id holder) const;
    void send_request(context& at, vm_id holder, std::uint32_t need, std::uint32_t prefetch);
    std::uint32_t prefetch_amount(const context& at) const;
    const vm_id* choose_holder(const context& at) const;
    void avoid_holder(organisation_id organisation, vm_id holder, time_point until);
    void admit_waiting(context& at, limit_outcomes& ended);
    void refuse_waiting(context& at, std::size_t first, limit_refused why, limit_outcomes& ended);
    void apply_timeouts(context& at, limit_outcomes& ended);
    static void return_expiring_grants(context& at);
    static spending_report spending_to_report(const organisation_state& it, vm_id holder);
    void finish_event(context& at);

    limit_entry_options options_;
    std::vector<std::vector<holder_view>> holders_; // by shard
    std::map<organisation_id, organisation_state> active_;
    std::set<organisation_id> busy_;
    std::map<std::uint64_t, organisation_id> organisation_by_request_; // by request number
    std::map<std::uint64_t, organisation_id> organisation_by_ticket_;  // of waiting callers
    std::uint64_t next_number_ = 1;
    std::uint64_t next_ticket_ = 1;
    std::vector<vm_id> unresponsive_;
    time_point next_sweep_{};
    limit_entry_counts counts_;
};

} // namespace jasminebank
