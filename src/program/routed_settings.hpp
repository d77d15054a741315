#ifndef CAPERJUNCTION_PROGRAM_ROUTED_SETTINGS_HPP
#define CAPERJUNCTION_PROGRAM_ROUTED_SETTINGS_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "proxy/relay_settings.hpp"

#include <map>
#include <string>

namespace caperjunction::program {

/// Operator settings of a host that serves published routes.
struct routed_settings
{
    std::string host_name;
    std::string region;
    std::string data_centre;
    /// The region of each data centre.
    std::map<std::string, std::string> regions;
    model::endpoint admin_listen;
    /// With port 0, metrics are served on the admin address only.
    model::endpoint metrics_listen;
    model::endpoint platform;
    proxy::relay_settings relay;
};

} // namespace caperjunction::program

#endif
