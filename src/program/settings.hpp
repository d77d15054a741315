#ifndef CAPERJUNCTION_PROGRAM_SETTINGS_HPP
#define CAPERJUNCTION_PROGRAM_SETTINGS_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "net/relay_settings.hpp"

#include <string>

namespace caperjunction::program {

/// Operator settings of one process.
struct settings
{
    std::string host_name;
    std::string region;
    std::string data_centre;
    model::endpoint admin_listen;
    model::endpoint peer_listen;
    model::endpoint platform;
    /// Secret shared by all hosts. The peer link is disabled if it is empty.
    std::string peer_secret;
    /// Set at the first start of the whole fleet, when no call of an earlier
    /// fleet can be resent.
    bool first_fleet = false;
    net::relay_settings relay;
    /// Time from the loss of readiness until new connections are rejected.
    model::milliseconds drain_delay{5'000};
    /// Maximum time for which a planned stop waits for running answers.
    model::milliseconds drain_limit{600'000};
    /// Maximum time for which a watch waits at the platform's service.
    model::milliseconds watch_wait{10'000};
};

} // namespace caperjunction::program

#endif
