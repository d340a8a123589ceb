#pragma once

// The rate limits on an entry node: decides for each request whether its organisation is within its
// rate, by spending tokens that holders granted. With low demand one token is requested for each
// request, with higher demand tokens are prefetched. An organisation whose holder has no tokens is
// refused locally, without messages, until the time at which the holder expects the next token.

#include "demand_estimate.h"
#include "limit_messages.h"

#include <deque>
#include <map>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace jasminebank {

/// The request is admitted.
struct limit_admitted {};
/// The request waits for a token. A limit_outcome with this ticket follows after at most max_wait.
struct limit_waiting {
    std::uint64_t ticket = 0;
};
/// The request is refused: the organisation is over its limit, or no holder answers. `retry_after`
/// is sent to the caller.
struct limit_refused {
    duration retry_after{};
    /// True if no holder answered, false if the organisation is over its limit.
    bool no_holder = false;
};

using limit_verdict = std::variant<limit_admitted, limit_waiting, limit_refused>;

/// Result for a request that waited: limit_admitted or limit_refused.
struct limit_outcome {
    std::uint64_t ticket = 0;
    limit_verdict verdict;
};

using limit_outcomes = std::vector<limit_outcome>;

struct limit_entry_options {
    std::uint32_t shards = 16;
    std::uint32_t domain = 0;                      ///< index of the own failure domain
    std::size_t max_organisations = 4096;          ///< organisations whose state is kept
    std::size_t max_waiting = 1024;                ///< waiting requests of all organisations
    std::size_t max_waiting_per_organisation = 64; ///< waiting requests of one organisation
    duration max_wait = std::chrono::milliseconds(60);
    /// How long a holder may wait for tokens before it answers; shorter for a holder in another
    /// failure domain, whose messages take longer.
    duration holder_wait = std::chrono::milliseconds(30);
    duration remote_holder_wait = std::chrono::milliseconds(12);
    duration answer_timeout = std::chrono::milliseconds(34);
    /// Lifetime of a grant that is requested for waiting callers only.
    duration waiting_grant_lifetime = std::chrono::milliseconds(75);
    /// Lifetime of a grant that includes prefetched tokens.
    duration prefetch_lifetime = max_token_lifetime;
    /// Tokens are prefetched for the demand expected within this time.
    duration prefetch_span = std::chrono::milliseconds(250);
    /// More tokens are requested when those left cover less than this time of demand.
    duration refill_span = std::chrono::milliseconds(30);
    /// For this long, a holder that didn't answer in time is used only if no other is available.
    duration unresponsive_backoff = std::chrono::seconds(1);
};

/// Counters since the start of the process.
struct limit_entry_counts {
    std::uint64_t admitted = 0;
    std::uint64_t waited = 0; ///< for a token, whatever the result
    std::uint64_t refused = 0;
    std::uint64_t no_holder = 0; ///< refused because no holder answered
    std::uint64_t requests = 0;  ///< grant requests sent to holders
};

class limit_entry {
public:
    explicit limit_entry(const limit_entry_options& options);

    /// Sets the index of the own failure domain once the configuration is known.
    void set_domain(std::uint32_t domain) { options_.domain = domain; }
    /// Sets the holders of a shard by index of their failure domain; vm 0 where none is known.
    void set_holders(std::uint32_t shard, std::span<const vm_id> holders);

    /// Decides for one request of the contract's organisation. Rate and burst of the contract are
    /// not used.
    limit_verdict admit(const rate_contract& contract, time_point now, limit_outbox& out);
    void receive(limit_peer from, const grant& message, time_point now, limit_outbox& out,
                 limit_outcomes& ended);
    /// The link to this node broke. Tokens requested from it are requested from another holder.
    void on_link_lost(vm_id holder, time_point now, limit_outbox& out, limit_outcomes& ended);
    /// The caller of a waiting request disconnected.
    void cancel(std::uint64_t ticket);
    /// Ends waits that timed out and returns unspent tokens. Call it when next_deadline() is
    /// reached.
    void tick(time_point now, limit_outbox& out, limit_outcomes& ended);
    /// Returns and clears the list of holders that left a request unanswered, or whose link broke.
    std::vector<vm_id> take_unresponsive_holders() { return std::exchange(unresponsive_, {}); }
    /// When tick() has to be called next; time_point::max() if nothing is pending.
    time_point next_deadline() const;

    /// Tokens of one organisation that could be spent at `now`. For metrics and tests.
    std::uint32_t spendable(organisation_id organisation, time_point now) const;
    const limit_entry_counts& counts() const { return counts_; }

private:
    // A grant whose tokens are not all spent. They may be spent only before `until`, which is
    // checked for each request.
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

    // Tokens spent of one grant, as reported to its holder.
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
        // Last grant of which all tokens are spent, until it is reported.
        spending_report exhausted_grant;
        time_point refused_until{};
        time_point no_prefetch_until{};

        // Tokens requested in requests that have not timed out.
        std::uint32_t requested_tokens() const;
        std::size_t unanswered_requests() const;
        std::uint32_t usable_tokens(time_point now) const;
        // Such an organisation is visited by tick() and keeps its state.
        bool is_busy() const
        {
            return !waiting.empty() || !pending.empty() || !held_grants.empty();
        }
    };

    struct holder_view {
        vm_id vm;
        time_point avoid_until{};
    };

    // The organisation that an event concerns, with the time of the event and the messages to send.
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
    std::map<std::uint64_t, organisation_id> organisation_by_request_;
    std::map<std::uint64_t, organisation_id> organisation_by_ticket_;
    std::uint64_t next_number_ = 1;
    std::uint64_t next_ticket_ = 1;
    std::vector<vm_id> unresponsive_;
    time_point next_sweep_{};
    limit_entry_counts counts_;
};

} // namespace jasminebank
