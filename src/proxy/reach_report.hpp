#ifndef CAPERJUNCTION_PROXY_REACH_REPORT_HPP
#define CAPERJUNCTION_PROXY_REACH_REPORT_HPP

#include "model/time.hpp"

#include <cstddef>

namespace caperjunction::proxy {

/// This host has lost its links to the upstreams, or regained them.
struct reach_report
{
    bool is_lost = false;
    /// How long they were lost; 0 at their loss.
    model::milliseconds lost_for{0};
    /// Upstreams that are known.
    std::size_t upstreams = 0;
    /// Hosts that may connect this one to upstreams.
    std::size_t peers = 0;
};

} // namespace caperjunction::proxy

#endif
