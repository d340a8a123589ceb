#include "link_silence.h"

namespace jasminebank {

void link_silence::expect_answer(time_point now)
{
    if (!expecting_since_)
        expecting_since_ = now;
}

void link_silence::received(time_point now)
{
    last_received_ = now;
    expecting_since_.reset();
    pinged_at_.reset();
    is_doubtful_ = false;
}

// While streams are open, the peer is expected to say something all the time.
silence_action link_silence::step(bool has_streams, time_point now)
{
    if (!has_streams && !expecting_since_) {
        pinged_at_.reset();
        is_doubtful_ = false;
        return silence_action::none;
    }
    if (!pinged_at_ && now - expecting_since_.value_or(last_received_) >= options_.ping_after) {
        pinged_at_ = now;
        return silence_action::ping;
    }
    if (!pinged_at_)
        return silence_action::none;
    is_doubtful_ = now - *pinged_at_ >= options_.doubt_after;
    return now - *pinged_at_ >= options_.ping_timeout ? silence_action::close
                                                      : silence_action::none;
}

} // namespace jasminebank
