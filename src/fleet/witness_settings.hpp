#ifndef CAPERJUNCTION_FLEET_WITNESS_SETTINGS_HPP
#define CAPERJUNCTION_FLEET_WITNESS_SETTINGS_HPP

#include "fleet/claim_settings.hpp"

#include <cstdint>
#include <string>

namespace caperjunction::fleet {

/// What distinguishes one witness from the others.
struct witness_settings
{
    std::string host;
    /// Of this process; see `make_generation`.
    std::uint64_t generation = 0;
    claim_settings claims;
    /// Set only when the operator knows that no call of an earlier fleet can
    /// be sent again: the first start of all. Else a witness starts without
    /// votes, and gets them from hosts that leave or by `maturity`.
    bool first_fleet = false;
};

} // namespace caperjunction::fleet

#endif
