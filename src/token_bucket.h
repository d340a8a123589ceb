#pragma once

// A token bucket that also counts its outstanding tokens: those that were issued to other nodes and
// may still be unspent there.
//
// Invariant: tokens + outstanding <= burst. The requests admitted in a window [s, t] spend tokens
// that were in the bucket or outstanding at s (at most burst), or that accrued since then (at most
// rate * (t - s)). The bound on each window therefore holds whichever messages are lost, delayed or
// repeated.

#include "rate_contract.h"

namespace jasminebank {

class token_bucket {
public:
    /// Starts empty: tokens that an earlier holder of the same part issued may still be unspent.
    token_bucket(rate_part part, time_point now) : part_(part), accrued_until_(now) {}

    /// Adds the tokens accrued until `now`, up to the burst. Does nothing if the clock went
    /// backwards.
    void accrue(time_point now);

    /// Removes tokens from the bucket. They are outstanding until they are spent, returned or
    /// expired.
    void issue(micro_tokens amount);
    /// Ends the outstanding state of tokens that are known at `now` to be spent or expired. Accrual
    /// that they blocked before `now` is not made up for.
    void remove_outstanding(micro_tokens amount, time_point now);
    /// Moves outstanding tokens that were returned unspent back into the bucket.
    void return_unspent(micro_tokens amount, time_point now);
    /// Adds tokens that another bucket counts as outstanding, as far as the headroom allows;
    /// returns how many.
    micro_tokens add_capped(micro_tokens amount);

    /// Changes rate and burst. A smaller burst removes tokens at once; a larger one adds none.
    void set_part(rate_part part, time_point now);

    /// Time until the bucket holds `amount` tokens if none is issued; duration::max() if never.
    duration time_until(micro_tokens amount) const;

    micro_tokens tokens() const { return tokens_; }
    micro_tokens outstanding() const { return outstanding_; }
    const rate_part& part() const { return part_; }
    /// How many more tokens the bucket can take: burst - tokens - outstanding, at least 0.
    micro_tokens headroom() const;

private:
    void check_invariant() const;

    rate_part part_;
    micro_tokens tokens_ = 0;
    micro_tokens outstanding_ = 0;
    time_point accrued_until_;
    std::int64_t carry_ = 0; // accrued fraction of a micro-token, in billionths
};

} // namespace jasminebank
