#pragma once

// The holder of one shard in one failure domain. It owns the domain's part of the rate and burst of
// each organisation of the shard, grants tokens to entry nodes and lends tokens to the holders in
// other domains.
//
// A node is the holder while it has the shard's lease. The holder checks the lease for each grant
// and loan, and none of them outlives it.

#include "demand_estimate.h"
#include "limit_messages.h"
#include "token_bucket.h"

#include <deque>
#include <map>
#include <queue>
#include <set>
#include <span>

namespace jasminebank {

/// What the lease allows: `share` of the part until `until`; then, if the lease could not be
/// renewed, `reserve_share` until `reserve_until`; then nothing. Shares are in 256ths.
struct lease_terms {
    std::uint32_t share = 0;
    time_point until{};
    std::uint32_t reserve_share = 0;
    time_point reserve_until{};
    bool operator==(const lease_terms&) const = default;
};

struct limit_holder_options {
    vm_id self;
    std::uint32_t domain = 0;  ///< index of the own failure domain
    std::uint32_t domains = 1; ///< number of failure domains that share the contracts
    std::uint64_t first_loan_number =
        1; ///< greater than every loan number used before in this process
    duration loan_lifetime = std::chrono::milliseconds(100);
    std::size_t max_waiting = 4096;      ///< requests waiting for tokens
    std::size_t max_outstanding = 65536; ///< grants and loans whose tokens may be unspent
};

/// Counters since this holder was created.
struct limit_holder_counts {
    std::uint64_t grants = 0;
    std::uint64_t refusals = 0;
    std::uint64_t loans_requested = 0;
    std::uint64_t loans_granted = 0;
};

class limit_holder {
public:
    limit_holder(const limit_holder_options& options, time_point now);

    /// Sets the contracts of this shard, sorted by organisation. A reduction takes effect at once;
    /// an increase adds no tokens, and new organisations start without tokens.
    void set_contracts(std::span<const rate_contract> contracts, time_point now);
    void set_terms(const lease_terms& terms, time_point now);
    /// Sets the holders of this shard in the other domains.
    void set_lenders(std::span<const vm_id> lenders);

    void receive(limit_peer from, const grant_request& request, time_point now, limit_outbox& out);
    void receive(limit_peer from, const grant_return& message, time_point now);
    void receive(limit_peer from, const loan_request& request, time_point now, limit_outbox& out);
    void receive(limit_peer from, const loan& message, time_point now, limit_outbox& out);
    void receive(limit_peer from, const loan_return& message, time_point now);
    /// Answers requests whose wait has ended and expires loans. Call it when next_deadline() is
    /// reached.
    void tick(time_point now, limit_outbox& out);
    /// When tick() has to be called next; time_point::max() if nothing is pending.
    time_point next_deadline(time_point now) const;

    /// True if no token that this holder granted or lent can still be spent.
    bool has_nothing_outstanding(time_point now);
    /// First loan number for the next holder in this process.
    std::uint64_t next_loan_number() const { return next_loan_number_; }
    const limit_holder_counts& counts() const { return counts_; }
    /// Tokens of one organisation that could be granted at `now`. For metrics and tests.
    micro_tokens spendable(organisation_id organisation, time_point now);

private:
    struct contract_bucket {
        rate_contract contract;
        token_bucket bucket;
    };

    struct issued_key {
        limit_peer to;
        std::uint64_t number = 0;
        bool is_loan = false;
        auto operator<=>(const issued_key&) const = default;
    };

    // A grant or loan whose tokens may be unspent. `own` of them were issued by the own bucket and
    // are outstanding there; the others were borrowed.
    struct issued_tokens {
        organisation_id organisation;
        micro_tokens own = 0;
        std::uint32_t tokens = 0; // of a grant; unused for a loan
        bool is_closed = false;   // of a loan: the borrower has returned the unused tokens
        time_point write_off_at{};
    };

    struct expiry {
        time_point at;
        issued_key key;
        bool operator>(const expiry& other) const { return at > other.at; }
    };

    struct waiting_request {
        limit_peer from;
        grant_request request;
        time_point received;
        time_point until;
    };

    struct pending_loan {
        std::uint64_t number = 0;
        vm_id lender;
        micro_tokens wanted = 0;
        bool urgent = false; // for requests that wait, not borrowed in advance
        time_point sent;
    };

    struct borrowed_tokens {
        vm_id lender;
        std::uint64_t number = 0;
        micro_tokens amount = 0;
        time_point until;
    };

    struct lender_view {
        vm_id vm;
        time_point next_urgent_at{}; // backoff for urgent requests
        time_point next_prefetch_at{};
        std::uint32_t urgent_failures = 0; // consecutive urgent requests not fully met
        // Lendable tokens reported at `remaining_at`. The default time lies so far back that a
        // lender is assumed to be full before its first answer.
        micro_tokens remaining = 0;
        time_point remaining_at{};
    };

    // State of an organisation, kept only while it has demand.
    struct organisation_state {
        demand_estimate demand;
        std::deque<waiting_request> waiting;
        std::vector<pending_loan> pending_loans;
        std::vector<borrowed_tokens> borrowed;
        std::vector<lender_view> lenders;
        // Earliest retry time for the next refused request: tokens that accrue before it have been
        // announced to earlier refused requests as their retry times.
        time_point announced_until{};

        // Borrowed tokens that are neither granted nor moved into the own bucket.
        micro_tokens borrowed_total() const;
        void drop_expired_loans(time_point now);
        micro_tokens requested_from_lenders(bool urgent) const;
        // Tokens needed for the callers of the waiting requests.
        micro_tokens needed_by_waiting() const;
        bool is_busy() const
        {
            return !waiting.empty() || !pending_loans.empty() || !borrowed.empty();
        }
    };

    // The organisation that an event concerns, with the time of the event and the messages to send.
    struct context {
        contract_bucket& slot;
        organisation_state& state;
        time_point now;
        limit_outbox& out;
    };

    contract_bucket* find(organisation_id organisation);
    organisation_state& find_or_add(organisation_id organisation);
    bool owns_part(const contract_bucket& it) const;
    std::uint32_t share_at(time_point now) const;
    time_point share_end(time_point now) const;
    void apply_expired_terms(time_point now);
    void apply_share(std::uint32_t share, time_point at);
    void write_off_expired(time_point now);
    void record_issued(const issued_key& key, const issued_tokens& it);
    void apply_spending_report(const issued_key& key, std::uint32_t spent, time_point now);
    void finish_event(context& at);
    void remove_idle_organisations(time_point now);

    duration grant_lifetime(const context& at, const waiting_request& waiting,
                            bool uses_borrowed) const;
    bool send_grant(context& at, const waiting_request& waiting, std::uint32_t tokens,
                    duration retry_after);
    void grant_waiting(context& at);
    void answer_with_available(context& at, const waiting_request& waiting);
    void answer_unsatisfiable_requests(context& at);
    static duration retry_time(context& at, std::uint32_t need);

    void borrow_for_waiting(context& at);
    void borrow_in_advance(context& at);
    static micro_tokens estimate_lendable(const context& at, const lender_view& lender);
    static lender_view* best_lender(const context& at, bool urgent);
    void request_loan(context& at, lender_view& lender, micro_tokens wanted, bool urgent);
    void expire_loan_requests(context& at);
    static void update_lender_backoff(organisation_state& it, const pending_loan& request,
                                      const loan& answer, time_point now);
    void absorb_loans(context& at);
    void return_unused_loans(context& at);
    micro_tokens lendable_tokens(const contract_bucket& slot, bool urgent, time_point now) const;
    duration loan_retry_after(const contract_bucket& slot, micro_tokens missing,
                              time_point now) const;

    limit_holder_options options_;
    lease_terms terms_;
    std::uint32_t applied_share_ = 0;
    std::vector<contract_bucket> slots_; // sorted by organisation
    std::vector<vm_id> lenders_;
    std::map<organisation_id, organisation_state> active_;
    std::set<organisation_id> busy_; // organisations for which is_busy() holds
    std::map<issued_key, issued_tokens> issued_;
    std::priority_queue<expiry, std::vector<expiry>, std::greater<>> expiries_;
    std::size_t waiting_count_ = 0;
    std::uint64_t next_loan_number_;
    time_point next_sweep_{};
    limit_holder_counts counts_;
};

} // namespace jasminebank
