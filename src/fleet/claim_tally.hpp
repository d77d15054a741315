#ifndef CAPERJUNCTION_FLEET_CLAIM_TALLY_HPP
#define CAPERJUNCTION_FLEET_CLAIM_TALLY_HPP

#include "fleet/claim_call.hpp"
#include "fleet/claim_settings.hpp"

#include <cstdint>

namespace caperjunction::fleet {

/// Vote count of a call.
struct claim_tally
{
    /// Distinct votes received.
    std::uint32_t votes = 0;
    /// Witnesses that have not replied yet.
    std::uint32_t pending = 0;
    /// Votes required to proceed: a majority of all votes that may exist.
    std::uint32_t quorum = 1;
};

/// Counts the votes in the replies of `call`.
///
/// Thread safety: any thread.
claim_tally count_votes(claim_call const& call, claim_settings const& settings);

/// Returns a reply that names another attempt as holder, preferably one that
/// is done, or null if there is none. Valid as long as `call`.
claim_reply const* find_holder(claim_call const& call);

} // namespace caperjunction::fleet

#endif
