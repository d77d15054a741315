#ifndef CAPERJUNCTION_ROUTING_BY_ADDRESS_HPP
#define CAPERJUNCTION_ROUTING_BY_ADDRESS_HPP

#include "model/endpoint.hpp"

namespace caperjunction::routing {

/// Orders endpoints by address and port. Thread safety: any thread.
struct by_address
{
    bool operator()(model::endpoint const& a, model::endpoint const& b) const
    {
        return a.address != b.address ? a.address < b.address : a.port < b.port;
    }
};

} // namespace caperjunction::routing

#endif
