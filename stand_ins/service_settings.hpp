#ifndef CAPERJUNCTION_STAND_INS_SERVICE_SETTINGS_HPP
#define CAPERJUNCTION_STAND_INS_SERVICE_SETTINGS_HPP

#include "model/endpoint.hpp"

#include <chrono>
#include <string>

namespace caperjunction::stand_ins {

/// Settings of the service stand-in.
struct service_settings
{
    model::endpoint listen{"127.0.0.1", 0};
    std::string name = "service-1";
    /// Time from a call to its execution.
    std::chrono::milliseconds delay{0};
};

} // namespace caperjunction::stand_ins

#endif
