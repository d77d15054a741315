#ifndef CAPERJUNCTION_MODEL_SERVICE_HPP
#define CAPERJUNCTION_MODEL_SERVICE_HPP

#include "model/endpoint.hpp"

#include <string>
#include <vector>

namespace caperjunction::model {

/// Instance of a plain (non-model) service, as published by the platform.
struct service_instance
{
    std::string service;
    std::string name;
    std::string region;
    std::string data_centre;
    endpoint address;
    bool leaving = false;

    friend bool operator==(service_instance const&,
                           service_instance const&) = default;
};

} // namespace caperjunction::model

#endif
