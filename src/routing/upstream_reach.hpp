#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_REACH_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_REACH_HPP

#include "model/time.hpp"

#include <cstddef>
#include <optional>

namespace caperjunction::routing {

/// Decides when the silence of all upstreams is suspicious.
///
/// When a host loses its links, its open connections may stay silent, and the
/// requests on them would wait until their timeouts before anything notices.
///
/// Thread safety: none; owned by one task.
class upstream_reach
{
public:
    /// Records that a request was sent over a direct connection.
    void record_sent(model::time_point now)
    {
        m_silent_since = m_silent_since.value_or(now);
    }

    /// Records that a direct connection was established or has delivered bytes.
    void record_received()
    {
        m_silent_since.reset();
    }

    /// Returns whether some links should be tried without a request: `waiting`
    /// upstreams owe an answer, and all have been silent.
    bool is_probe_due(std::size_t waiting, model::time_point now) const;

    /// Records that links were tried.
    void record_probe(model::time_point now)
    {
        m_probed_at = now;
    }

private:
    /// When the first request since the last answer was sent.
    std::optional<model::time_point> m_silent_since;
    model::time_point m_probed_at{};
};

} // namespace caperjunction::routing

#endif
