#pragma once

// A token bucket that counts tokens which have left it but may still be unspent somewhere.
//
// Invariant: tokens + outstanding <= burst. Requests admitted in a window [s, t] spend tokens that
// were here or outstanding at s (at most burst) or accrued since (at most rate * (t - s)), so the
// window bound holds whatever messages are lost, late or repeated.

#include "rate_contract.h"

namespace jasminebank {

class token_bucket {
public:
    /// Starts empty: a new holder owes nobody tokens that an earlier one may have given out.
    token_bucket(rate_part part, time_point now) : part_(part), accrued_until_(now) {}

    /// Adds what accrued until `now`, up to the cap. Time that went backwards adds nothing.
    void accrue(time_point now);

    /// Moves tokens out: they are outstanding until spent, returned or written off.
    void issue(micro_tokens amount);
    /// Outstanding tokens that are known at `now` to be spent, or can't be spent any more. What
    /// they kept the bucket from accruing before `now` is gone.
    void remove_outstanding(micro_tokens amount, time_point now);
    /// Outstanding tokens that came back unspent.
    void return_unspent(micro_tokens amount, time_point now);
    /// Takes in tokens counted by another bucket, as far as the cap allows; returns how many.
    micro_tokens add_capped(micro_tokens amount);

    /// Changes rate and burst. Shrinking cuts tokens at once; growth adds none.
    void set_part(rate_part part, time_point now);

    /// Time until `amount` tokens are here if none leaves; duration::max() if never.
    duration time_until(micro_tokens amount) const;

    micro_tokens tokens() const { return tokens_; }
    micro_tokens outstanding() const { return outstanding_; }
    const rate_part& part() const { return part_; }
    /// Tokens that may still come in.
    micro_tokens headroom() const;

private:
    void check_invariant() const;

    rate_part part_;
    micro_tokens tokens_ = 0;
    micro_tokens outstanding_ = 0;
    time_point accrued_until_;
    std::int64_t carry_ = 0; // fraction of a micro-token, in billionths
};

} // namespace jasminebank
