#ifndef CAPERJUNCTION_FLEET_CLAIM_DECISION_HPP
#define CAPERJUNCTION_FLEET_CLAIM_DECISION_HPP

#include "fleet/claim_message.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace caperjunction::fleet {

/// This host holds the claim: queue the call and dispatch it. Call
/// `claimant::begin_dispatch` immediately before, and report the end with
/// `claim_ended`.
struct claim_proceed
{
    std::uint64_t ticket = 0;
    /// Deadline after which `begin_dispatch` returns false.
    model::time_point until{};
};

/// Answer the caller `not-run`: this host held the claim, did not dispatch
/// the call, and has released the claim.
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
    /// Host of the attempt that holds the claim. It may have answered its
    /// caller before the witnesses learned that the call is done. Empty: none.
    std::string holder_host;
    claim_key key;
    claim_attempt holder;
};

/// Answer the caller with the first run's answer, which `host` may still
/// have; otherwise answer `unknown`.
struct claim_fetch_answer
{
    std::uint64_t ticket = 0;
    std::string host;
    claim_key key;
    claim_attempt attempt;
};

/// The caller has used the key for a different body before. This is a caller
/// error, answered as a bad request with `not-run`.
struct claim_mismatch
{
    std::uint64_t ticket = 0;
};

/// Every output of a claimant.
using claim_decision = std::variant<claim_send,
                                    claim_proceed,
                                    claim_not_run,
                                    claim_unknown,
                                    claim_fetch_answer,
                                    claim_mismatch>;

} // namespace caperjunction::fleet

#endif
