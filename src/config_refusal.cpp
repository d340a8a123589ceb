#include "config_refusal.h"

namespace jasminebank {

// Most nodes receive a newer configuration within this time of the first news of it.
constexpr duration outdated_retry_after = std::chrono::milliseconds(300);

refusal_answer refuse_by_config(refusal reason, bool is_outdated)
{
    if (is_outdated)
        return {.reason = refusal::outdated_configuration, .retry_after = outdated_retry_after};
    return {.reason = reason};
}

} // namespace jasminebank
