#ifndef CAPERJUNCTION_FLEET_CONFIG_MESSAGE_HPP
#define CAPERJUNCTION_FLEET_CONFIG_MESSAGE_HPP

#include "fleet/delta.hpp"
#include "fleet/published_value.hpp"
#include "fleet/value_revisions.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// Revisions that a host can send on request.
struct config_announce
{
    /// Highest revisions received, valid or not.
    value_revisions latest;
    /// Valid revisions that the host uses.
    value_revisions in_force;

    friend bool operator==(config_announce const&,
                           config_announce const&) = default;
};

/// Requests one value from a peer.
struct config_fetch
{
    published_value value = published_value::plans;
    /// Minimum revision of the answer.
    std::uint64_t wanted = 0;
    /// Latest revision that the sender holds; 0 requests a complete body.
    std::uint64_t held = 0;

    friend bool operator==(config_fetch const&, config_fetch const&) = default;
};

/// One revision of one value: a complete body, or the deltas from the body of
/// revision `base`.
struct config_value
{
    published_value value = published_value::plans;
    std::uint64_t revision = 0;
    /// XXH3 of the complete body of `revision`.
    std::uint64_t hash = 0;
    /// 0 if `body` is the complete body.
    std::uint64_t base = 0;
    std::shared_ptr<std::string const> body;
    std::vector<delta> deltas;
};

} // namespace caperjunction::fleet

#endif
