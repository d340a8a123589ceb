#pragma once

// The entry's side of an idempotency key: reads it from a request, and holds its claim while the
// request runs.

#include "link_message.h"
#include "once_service.h"
#include "refusal.h"
#include "result.h"

#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

/// 1 to 128 visible ASCII characters.
constexpr std::string_view idempotency_key_field = "idempotency-key";
constexpr std::size_t longest_idempotency_key = 128;
/// With a refusal as duplicate: the status of the run that the key has had.
constexpr std::string_view first_status_header = "Jasmine-First-Status";

/// The key of a request whose body, as far as it was read before the dispatch, is `body`; nothing
/// if it has none. Fails with `bad_request` on a malformed key or two.
result<std::optional<once_request_identity>, refusal>
once_identity(const message_head& head, organisation_id organisation, const std::string& body);

/// What the caller is told when its request was not granted. A state speaks of the key: `not_run`
/// only if no request with this key has run.
refusal_answer refusal_of(const once_answer& it);

/// A granted claim, settled once; as `unknown` if nothing else was said before it goes.
class once_hold {
public:
    once_hold(once_service& service, once_ticket ticket);
    ~once_hold();
    once_hold(const once_hold&) = delete;
    once_hold& operator=(const once_hold&) = delete;

    /// The request must not run later.
    time_point deadline() const { return ticket_.deadline; }
    void ran(int status) { settle(once_outcome::ran, status); }
    void refused(run_state state);

private:
    void settle(once_outcome outcome, int status);

    once_service& service_;
    once_ticket ticket_;
    bool settled_ = false;
};

} // namespace jasminebank
