#ifndef CAPERJUNCTION_MODEL_UPSTREAMS_HPP
#define CAPERJUNCTION_MODEL_UPSTREAMS_HPP

#include "model/engine.hpp"
#include "model/service.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::model {

/// All upstreams that the platform publishes, under one revision.
struct upstreams
{
    std::uint64_t revision = 0;
    std::vector<engine> engines;
    std::vector<service_instance> services;

    friend bool operator==(upstreams const&, upstreams const&) = default;
};

} // namespace caperjunction::model

#endif
