#ifndef CAPERJUNCTION_FLEET_CLAIM_TALLY_HPP
#define CAPERJUNCTION_FLEET_CLAIM_TALLY_HPP

#include "fleet/claim_call.hpp"
#include "fleet/claim_settings.hpp"

#include <cstdint>

namespace caperjunction::fleet {

/// How a call stands with its witnesses.
struct claim_tally
{
    /// Different votes that were given to it.
    std::uint32_t votes = 0;
    /// Witnesses that may still give one.
    std::uint32_t pending = 0;
    /// Votes that let it proceed: a majority of all that may be about.
    std::uint32_t quorum = 1;
};

/// Counts the replies that `call` has.
///
/// Thread safety: any thread.
claim_tally count_votes(claim_call const& call, claim_settings const& settings);

/// A reply that names another attempt as holder, one that is done before any
/// other; null if there is none. Lives as long as `call`.
claim_reply const* find_holder(claim_call const& call);

} // namespace caperjunction::fleet

#endif
