#ifndef CAPERJUNCTION_PROXY_REACH_REPORT_HPP
#define CAPERJUNCTION_PROXY_REACH_REPORT_HPP

#include "model/time.hpp"

#include <cstddef>
#include <string_view>

namespace caperjunction::proxy {

/// This host has lost its link to an upstream of a service, or regained all.
struct reach_report
{
    std::string_view service;
    bool is_lost = false;
    /// How long links were lost; 0 at the loss.
    model::milliseconds lost_for{0};
    /// Upstreams of the service that are known.
    std::size_t upstreams = 0;
    /// Hosts that may connect this one to upstreams.
    std::size_t peers = 0;
};

} // namespace caperjunction::proxy

#endif
