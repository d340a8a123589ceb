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
constexpr std::size_t max_idempotency_key_bytes = 128;
/// With a refusal as duplicate: the status of the run that the key has had.
constexpr std::string_view first_status_header = "Jasmine-First-Status";

/// The key of a request whose body, as far as it was read before the dispatch, is `body`; nothing
/// if it has none. Fails with `bad_request` on a malformed key or two.
result<std::optional<keyed_request>, refusal>
read_keyed_request(const message_head& head, organisation_id organisation, const std::string& body);

/// What the caller is told when its request was not granted. A state speaks of the key: `not_run`
/// only if no request with this key has run.
refusal_answer refusal_of(const claim_answer& it);

/// A granted claim, settled once; as `unknown` if nothing else was said before it goes.
class granted_claim {
public:
    granted_claim(idempotency_service& service, claim_result claim);
    ~granted_claim();
    granted_claim(const granted_claim&) = delete;
    granted_claim& operator=(const granted_claim&) = delete;

    /// The request must not run later.
    time_point deadline() const { return claim_.deadline; }
    void on_executed(int status) { report_outcome(claim_outcome::ran, status); }
    void on_refused(run_state state);

private:
    void report_outcome(claim_outcome outcome, int status);

    idempotency_service& service_;
    claim_result claim_;
    bool reported_ = false;
};

} // namespace jasminebank
