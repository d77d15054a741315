#ifndef CAPERJUNCTION_PROGRAM_SETTINGS_HPP
#define CAPERJUNCTION_PROGRAM_SETTINGS_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "net/relay_settings.hpp"

#include <string>

namespace caperjunction::program {

/// Everything that the operator sets for one process.
struct settings
{
    std::string host_name;
    std::string region;
    std::string data_centre;
    model::endpoint admin_listen;
    model::endpoint peer_listen;
    model::endpoint platform;
    /// Shared by all hosts; empty means that no peer is spoken to.
    std::string peer_secret;
    /// This is the first start of all: no call of an earlier fleet can be
    /// sent again.
    bool first_fleet = false;
    net::relay_settings relay;
    /// From readiness false to the last connection taken.
    model::milliseconds drain_delay{5'000};
    /// Longest time that a planned stop waits for running answers.
    model::milliseconds drain_limit{600'000};
    /// Longest time that a watch waits at the platform's service.
    model::milliseconds watch_wait{10'000};
};

} // namespace caperjunction::program

#endif
