#ifndef CAPERJUNCTION_FLEET_AGENT_SETTINGS_HPP
#define CAPERJUNCTION_FLEET_AGENT_SETTINGS_HPP

#include "fleet/configuration_settings.hpp"
#include "fleet/digest_settings.hpp"
#include "fleet/membership_settings.hpp"

namespace caperjunction::fleet {

struct agent_settings
{
    membership_settings membership;
    /// `host` and `region` are overwritten from `membership.self`.
    configuration_settings configuration;
    digest_settings digests;
};

} // namespace caperjunction::fleet

#endif
