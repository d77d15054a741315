#ifndef CAPERJUNCTION_FLEET_CLAIM_DECISION_HPP
#define CAPERJUNCTION_FLEET_CLAIM_DECISION_HPP

#include "fleet/claim_message.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace caperjunction::fleet {

/// The call is this host's to run: queue it and dispatch it, asking
/// `claimant::begin_dispatch` right before. End it by `claim_ended`.
struct claim_proceed
{
    std::uint64_t ticket = 0;
    /// After that `begin_dispatch` says no.
    model::time_point until{};
};

/// Answer the caller `not-run`: this host had the claim, did not dispatch,
/// and has given it back.
struct claim_not_run
{
    std::uint64_t ticket = 0;
    model::milliseconds retry_after{0};
    std::string reason;
};

/// Answer the caller `unknown`: the call may have run or may be running.
/// A resend under the same key is safe.
struct claim_unknown
{
    std::uint64_t ticket = 0;
    model::milliseconds retry_after{0};
    std::string reason;
};

/// Answer the caller with the first run's answer, which `host` may still
/// have; `unknown` if it has not.
struct claim_fetch_answer
{
    std::uint64_t ticket = 0;
    std::string host;
    claim_key key;
    claim_attempt attempt;
};

/// The caller used the key for another body before: a mistake of its own,
/// which is answered as a bad request, `not-run`.
struct claim_mismatch
{
    std::uint64_t ticket = 0;
};

/// Everything that an entry host's claims can ask for.
using claim_decision = std::variant<claim_send,
                                    claim_proceed,
                                    claim_not_run,
                                    claim_unknown,
                                    claim_fetch_answer,
                                    claim_mismatch>;

} // namespace caperjunction::fleet

#endif
