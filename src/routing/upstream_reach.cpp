#include "routing/upstream_reach.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::routing {
namespace {

/// Upstreams that can't be reached before the links count as lost; fewer if
/// fewer are known.
constexpr std::size_t min_unreachable = 3;

/// Failures further apart than this are not one partition.
constexpr model::milliseconds evidence_lifetime{2'000};

/// Upstreams of a busy host are never all silent for as long as this.
constexpr model::milliseconds max_silence{250};

/// Upstreams that owe an answer before their silence is suspicious.
constexpr std::size_t min_waiting = 2;

constexpr model::milliseconds probe_period{500};

} // namespace

bool upstream_reach::record_connected(model::time_point now)
{
    record_received(now);
    m_unreachable.clear();
    return std::exchange(m_lost_at, std::nullopt).has_value();
}

bool upstream_reach::record_unreachable(std::string const& id,
                                        std::size_t known,
                                        model::time_point now)
{
    std::erase_if(m_unreachable, [now](auto const& item) {
        return now - item.second > evidence_lifetime;
    });
    m_unreachable[id] = now;
    std::size_t const needed =
        std::clamp(known, std::size_t{1}, min_unreachable);
    if (is_lost() || m_unreachable.size() < needed) {
        return false;
    }
    m_lost_at = now;
    return true;
}

model::milliseconds upstream_reach::lost_for(model::time_point now) const
{
    return std::chrono::duration_cast<model::milliseconds>(now - *m_lost_at);
}

bool upstream_reach::has_live_connections(model::time_point now) const
{
    return !is_lost() || now - m_received_at <= max_silence;
}

bool upstream_reach::is_probe_due(std::size_t waiting,
                                  model::time_point now) const
{
    if (now - m_probed_at < probe_period) {
        return false;
    }
    bool const is_suspicious = waiting >= min_waiting && m_silent_since
                               && now - *m_silent_since > max_silence;
    return is_lost() || is_suspicious;
}

} // namespace caperjunction::routing
