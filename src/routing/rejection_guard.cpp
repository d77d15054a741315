#include "routing/rejection_guard.hpp"

#include <algorithm>
#include <cmath>

namespace caperjunction::routing {
namespace {

/// Share of the slots that is used: a new connection may take one briefly.
constexpr double used_share = 7.0 / 8.0;

/// Share of the slots up to which a host may use one more than its own.
constexpr double shared_freely = 0.75;

/// Time in which requests of a full upstream end.
constexpr model::milliseconds full_wait{100};

constexpr model::seconds min_pause{0.25};
constexpr model::seconds max_pause{10.0};

} // namespace

bool rejection_guard::update(std::optional<double> rejections_per_second)
{
    bool const is_change = rejections_per_second.has_value()
                           != m_rejections_per_second.has_value();
    m_rejections_per_second = rejections_per_second;
    return is_change;
}

void rejection_guard::record_rejection(model::time_point now)
{
    if (!is_active()) {
        return;
    }
    double const own_rejections =
        *m_rejections_per_second / static_cast<double>(m_share.fleet_size);
    auto const pause =
        own_rejections > 0.0 ? std::clamp(
            model::seconds(1.0 / own_rejections), min_pause, max_pause)
                             : max_pause;
    m_paused_until =
        now + std::chrono::duration_cast<model::time_point::duration>(pause);
}

std::size_t rejection_guard::used_slots(std::uint32_t slots) const
{
    return static_cast<std::size_t>(
        std::max(1.0, std::floor(slots * used_share)));
}

// Where there are more hosts than slots, so many have one that the upstream
// bears the rejections if all use theirs at the same time.
std::uint32_t rejection_guard::own_slots(std::uint32_t slots) const
{
    if (!m_share.participates) {
        return 0;
    }
    std::size_t const used = used_slots(slots);
    if (m_share.hosts > used) {
        double const holders =
            static_cast<double>(used) + *m_rejections_per_second;
        return static_cast<double>(m_share.rank) < holders ? 1 : 0;
    }
    std::size_t const remainder = m_share.rank < used % m_share.hosts ? 1 : 0;
    return static_cast<std::uint32_t>(used / m_share.hosts + remainder);
}

bool rejection_guard::may_use_extra(slot_usage const& usage) const
{
    bool const is_contended = m_share.participates
                                  ? m_share.hosts > used_slots(usage.slots)
                                  : m_has_others;
    return !is_contended && usage.own == own_slots(usage.slots)
           && usage.own + usage.others < usage.slots * shared_freely;
}

model::time_point rejection_guard::next_send(slot_usage const& usage,
                                             model::time_point now) const
{
    if (!is_active()) {
        return now;
    }
    if (usage.own < own_slots(usage.slots)) {
        bool const is_safe = m_share.hosts <= used_slots(usage.slots);
        return is_safe ? now : std::max(m_paused_until, now);
    }
    return std::max(m_paused_until,
                    may_use_extra(usage) ? now : now + full_wait);
}

} // namespace caperjunction::routing
