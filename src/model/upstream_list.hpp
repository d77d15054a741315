#ifndef CAPERJUNCTION_MODEL_UPSTREAM_LIST_HPP
#define CAPERJUNCTION_MODEL_UPSTREAM_LIST_HPP

#include "model/engine.hpp"
#include "model/service.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::model {

/// All upstreams that the platform publishes under one revision.
struct upstream_list
{
    std::uint64_t revision = 0;
    std::vector<engine> engines;
    std::vector<service_instance> services;

    friend bool operator==(upstream_list const&,
                           upstream_list const&) = default;
};

} // namespace caperjunction::model

#endif
