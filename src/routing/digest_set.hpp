#ifndef CAPERJUNCTION_ROUTING_DIGEST_SET_HPP
#define CAPERJUNCTION_ROUTING_DIGEST_SET_HPP

#include "routing/peer_digest.hpp"

#include <cstdint>

namespace caperjunction::routing {

/// Content of a digest, by the role of its recipient.
enum class digest_kind : std::uint8_t
{
    /// The recipient places requests by loads: those of this host, and from an
    /// aggregator also those of other data centres.
    loads,
    /// The recipient aggregates another data centre: the total loads of this
    /// data centre.
    aggregated_loads,
    /// No loads: only the presence of this host and its store revisions.
    presence,
};

/// Digests of this host at one time, one for each kind.
struct digest_set
{
    peer_digest loads;
    peer_digest aggregated_loads;
    peer_digest presence;

    peer_digest const& of(digest_kind kind) const
    {
        return kind == digest_kind::loads              ? loads
               : kind == digest_kind::aggregated_loads ? aggregated_loads
                                                       : presence;
    }
};

} // namespace caperjunction::routing

#endif
