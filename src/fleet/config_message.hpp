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

/// Which revisions a host could send on request.
struct config_announce
{
    /// The highest it has received, whether it passed the checks or not.
    value_revisions latest;
    /// The checked ones by which it acts.
    value_revisions in_force;

    friend bool operator==(config_announce const&,
                           config_announce const&) = default;
};

/// Asks a peer for one value.
struct config_fetch
{
    published_value value = published_value::plans;
    /// The revision that is wanted, or any higher one.
    std::uint64_t wanted = 0;
    /// The latest that the sender holds; 0 asks for a whole body.
    std::uint64_t held = 0;

    friend bool operator==(config_fetch const&, config_fetch const&) = default;
};

/// One revision of one value: a whole body, or the splices that turn the
/// body of revision `base` into it.
struct config_value
{
    published_value value = published_value::plans;
    std::uint64_t revision = 0;
    /// XXH3 of the whole body of `revision`.
    std::uint64_t hash = 0;
    /// 0 if `body` is the whole body.
    std::uint64_t base = 0;
    std::shared_ptr<std::string const> body;
    std::vector<delta> deltas;
};

} // namespace caperjunction::fleet

#endif
