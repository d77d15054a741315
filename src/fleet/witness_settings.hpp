#ifndef CAPERJUNCTION_FLEET_WITNESS_SETTINGS_HPP
#define CAPERJUNCTION_FLEET_WITNESS_SETTINGS_HPP

#include "fleet/claim_settings.hpp"

#include <cstdint>
#include <string>

namespace caperjunction::fleet {

/// Identity and settings of one witness.
struct witness_settings
{
    std::string host;
    /// Generation of this process; see `make_generation`.
    std::uint64_t generation = 0;
    claim_settings claims;
    /// Set only if the operator knows that no call of an earlier fleet can be
    /// resent: the first start of a site. Otherwise a witness starts without
    /// votes and gets them from leaving hosts or after `maturity`.
    bool first_fleet = false;
};

} // namespace caperjunction::fleet

#endif
