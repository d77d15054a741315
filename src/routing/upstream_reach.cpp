#include "routing/upstream_reach.hpp"

namespace caperjunction::routing {
namespace {

/// Upstreams of a busy host are never all silent for as long as this.
constexpr model::milliseconds max_silence{250};

/// Upstreams that owe an answer before their silence is suspicious.
constexpr std::size_t min_waiting = 2;

constexpr model::milliseconds probe_period{500};

} // namespace

bool upstream_reach::is_probe_due(std::size_t waiting,
                                  model::time_point now) const
{
    bool const is_suspicious = waiting >= min_waiting && m_silent_since
                               && now - *m_silent_since > max_silence;
    return is_suspicious && now - m_probed_at >= probe_period;
}

} // namespace caperjunction::routing
