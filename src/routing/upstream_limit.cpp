#include "routing/upstream_limit.hpp"

#include <algorithm>

namespace caperjunction::routing {
namespace {

/// Share of a limit that is used. Two hosts may briefly both consider
/// themselves one of its sharers.
constexpr double used_share = 0.8;
/// After this time without a notice, hosts that do not share the limit send
/// probes: all sharers may have stopped.
constexpr model::milliseconds stale_after{15'000};
/// Rate of these probes, over all hosts.
constexpr double probes_per_second = 0.25;

model::milliseconds interval(double seconds)
{
    constexpr double max_seconds = 3'600.0;
    return std::chrono::duration_cast<model::milliseconds>(
        model::seconds(std::min(seconds, max_seconds)));
}

} // namespace

bool upstream_limit::update(limit_notice const& notice)
{
    if (notice.received_at <= m_notice.received_at) {
        return false;
    }
    bool const was_limited = is_limited();
    m_notice = notice;
    if (is_limited() && !was_limited) {
        m_limited_since = notice.received_at;
    }
    return is_limited() != was_limited;
}

void upstream_limit::set_share(limit_share const& share)
{
    m_share = share;
}

bool upstream_limit::is_stale(model::time_point now) const
{
    return now - m_notice.received_at > stale_after;
}

std::size_t upstream_limit::sharers() const
{
    double const max_sharers =
        m_sharer_rule.min_hosts
        + m_sharer_rule.hosts_per_request * *m_notice.requests_per_second;
    double const hosts = std::max(1.0, static_cast<double>(m_share.hosts));
    return static_cast<std::size_t>(std::min(hosts, max_sharers));
}

// Hosts start one after the other within one interval after `from`, in the
// order of their `position`, 0..1. A host that has sent a request waits for one
// interval of its own.
model::time_point upstream_limit::next_slot(model::time_point from,
                                            model::milliseconds each,
                                            double position) const
{
    auto const wait = std::chrono::duration_cast<model::milliseconds>(
        std::chrono::duration<double, std::milli>(each) * position);
    return std::max(from + wait, m_sent_at + each);
}

model::time_point upstream_limit::next_for_sharer() const
{
    double const rate = *m_notice.requests_per_second * used_share;
    bool const is_sharer = m_share.participates && m_share.rank < sharers();
    if (!is_sharer || rate <= 0.0) {
        return model::time_point::max();
    }
    double const hosts = static_cast<double>(sharers());
    return next_slot(m_limited_since,
                     interval(hosts / rate),
                     static_cast<double>(m_share.rank) / hosts);
}

model::time_point upstream_limit::next_for_stale() const
{
    return next_slot(
        m_notice.received_at + stale_after,
        interval(static_cast<double>(m_share.fleet_size) / probes_per_second),
        m_share.phase);
}

model::time_point upstream_limit::next_send(model::time_point now) const
{
    return is_stale(now) ? std::min(next_for_sharer(), next_for_stale())
                         : next_for_sharer();
}

void upstream_limit::record_send(model::time_point now)
{
    m_sent_at = now;
}

} // namespace caperjunction::routing
