#ifndef CAPERJUNCTION_ROUTING_WAITING_REQUEST_HPP
#define CAPERJUNCTION_ROUTING_WAITING_REQUEST_HPP

#include "model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace caperjunction::routing {

/// A request in the queue of a host.
struct waiting_request
{
    /// Assigned by the queue, ascending.
    std::uint64_t number = 0;
    std::string service;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    /// It is beyond its team's share.
    bool is_excess = false;
    model::time_point since{};
    /// Latest time at which it is sent.
    model::time_point until{};
    std::size_t body_bytes = 0;
};

} // namespace caperjunction::routing

#endif
