#pragma once

// Idempotency keys on the entry node: reads the key of a request, and holds the granted claim while
// the request runs.

#include "link_message.h"
#include "once_service.h"
#include "refusal.h"
#include "result.h"

#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

/// Request header that carries the key: 1 to 128 visible ASCII characters.
constexpr std::string_view idempotency_key_field = "idempotency-key";
constexpr std::size_t max_idempotency_key_bytes = 128;
/// Response header of a request refused as a duplicate: the status of the earlier request that ran
/// with the same key.
constexpr std::string_view first_status_header = "Jasmine-First-Status";

/// Reads the idempotency key of a request; nullopt if it has none. `body` is the part of the body
/// that was read before the dispatch. Fails with `bad_request` if the key is malformed or there is
/// more than one.
result<std::optional<keyed_request>, refusal>
read_keyed_request(const message_head& head, organisation_id organisation, const std::string& body);

/// The refusal sent to a caller whose claim was not granted. Its run state is that of the key:
/// `not_run` only if no request with this key has run.
refusal_answer refusal_of(const claim_answer& it);

/// A granted claim whose outcome is reported exactly once: as `unknown` if none was reported before
/// the destruction.
class granted_claim {
public:
    granted_claim(idempotency_service& service, claim_result claim);
    ~granted_claim();
    granted_claim(const granted_claim&) = delete;
    granted_claim& operator=(const granted_claim&) = delete;

    /// The request must not run after this time.
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
