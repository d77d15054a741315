#ifndef CAPERJUNCTION_FLEET_CLAIM_CALL_HPP
#define CAPERJUNCTION_FLEET_CLAIM_CALL_HPP

#include "fleet/claim_message.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// Progress of a call on its entry host.
enum class claim_phase : std::uint8_t
{
    /// Votes are being requested.
    requesting,
    /// A quorum has granted the claim; not dispatched yet.
    granted,
    dispatched,
};

/// An entry host's state of one non-repeatable call.
struct claim_call
{
    claim_phase phase = claim_phase::requesting;
    std::uint64_t number = 0;
    std::uint64_t ticket = 0;
    std::uint64_t fingerprint = 0;
    model::time_point started{};
    model::time_point last_request{};
    /// Chosen once per attempt; votes of other hosts don't count.
    std::vector<std::string> witnesses;
    std::map<std::string, claim_reply> replies;
};

/// Record of a call that ended after its dispatch.
struct claim_finished
{
    std::uint64_t number = 0;
    std::uint64_t fingerprint = 0;
};

} // namespace caperjunction::fleet

#endif
