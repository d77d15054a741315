#include "routing/upstream_limit.hpp"

#include <algorithm>

namespace caperjunction::routing {
namespace {

/// Part of a limit that is used: two hosts may for a moment both think that a
/// place is theirs.
constexpr double used_share = 0.8;
/// Hosts that share a limit, each with one request at once: so many, and more
/// for each request a second.
constexpr double min_sharers = 4.0;
constexpr double sharers_per_request = 2.0;
/// A limit of which no host has heard for so long is tried by hosts that don't
/// share it: those that do may all be gone.
constexpr model::milliseconds stale_after{15'000};
/// Requests a second, of all hosts, with which it is tried then.
constexpr double probes_per_second = 0.25;

model::milliseconds interval(double seconds)
{
    constexpr double longest_seconds = 3'600.0;
    return std::chrono::duration_cast<model::milliseconds>(
        model::seconds(std::min(seconds, longest_seconds)));
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
        m_began = notice.received_at;
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
    double const most =
        min_sharers + sharers_per_request * *m_notice.requests_per_second;
    double const hosts = std::max(1.0, static_cast<double>(m_share.hosts));
    return static_cast<std::size_t>(std::min(hosts, most));
}

// Hosts begin one after the other, over one interval from `from` on; a host
// that has sent waits for an interval of its own.
model::time_point upstream_limit::next_slot(model::time_point from,
                                            model::milliseconds each) const
{
    auto const wait = std::chrono::duration_cast<model::milliseconds>(
        std::chrono::duration<double, std::milli>(each) * m_share.phase);
    return std::max(from + wait, m_sent_at + each);
}

model::time_point upstream_limit::next_for_sharer() const
{
    double const rate = *m_notice.requests_per_second * used_share;
    bool const is_sharer = m_share.participates && m_share.rank < sharers();
    if (!is_sharer || rate <= 0.0) {
        return model::time_point::max();
    }
    return next_slot(m_began, interval(static_cast<double>(sharers()) / rate));
}

model::time_point upstream_limit::next_for_stale() const
{
    return next_slot(
        m_notice.received_at + stale_after,
        interval(static_cast<double>(m_share.fleet_size) / probes_per_second));
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
