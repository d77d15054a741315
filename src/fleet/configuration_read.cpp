#include "fleet/configuration.hpp"

#include <algorithm>

namespace caperjunction::fleet {
namespace {

// Beyond the longest wait at the service; then the answer was lost.
constexpr model::milliseconds answer_margin{10'000};
constexpr model::milliseconds no_wait{0};

} // namespace

model::milliseconds configuration::jittered(model::milliseconds mean)
{
    // Half to one and a half: hosts that lost the service together don't
    // come back to it together.
    std::uniform_int_distribution<std::int64_t> spread(0, mean.count());
    return mean / 2 + model::milliseconds(spread(m_random));
}

bool configuration::peers_are_silent() const
{
    return m_now - m_last_announce >= m_settings.peer_silence_limit;
}

void configuration::watch(published_value value, model::milliseconds wait)
{
    value_slot& kept = slot(value);
    bool const lost = m_now >= kept.watch_deadline;
    if ((kept.watching && !lost) || m_now < kept.next_watch) {
        return;
    }
    kept.watching = true;
    kept.watch_deadline = m_now + wait + answer_margin;
    m_out->push_back(watch_value{value, kept.latest.revision, wait});
}

// Watchers hear of a change at once. All others ask at a mean period that
// keeps the whole fleet well below the service's rate: often while no peer
// speaks, seldom otherwise, for the case that no watcher reaches the service.
void configuration::poll_service()
{
    if (m_watcher && m_ready) {
        watch_all(m_settings.watch_wait);
        return;
    }
    schedule_direct_read();
    if (m_now < m_next_direct_read) {
        return;
    }
    bool const often = peers_are_silent() || !m_ready;
    m_next_direct_read = m_now
                         + jittered(often ? m_settings.direct_read_period
                                          : m_settings.audit_period);
    watch_all(no_wait);
}

void configuration::schedule_direct_read()
{
    auto const latest = m_now + 2 * m_settings.direct_read_period;
    if (peers_are_silent() && m_next_direct_read > latest) {
        m_next_direct_read = m_now + jittered(m_settings.direct_read_period);
    }
}

// One body is asked of one peer at a time: six neighbours announce a change
// within milliseconds, and five of six bodies would be wasted.
void configuration::fetch_missing(published_value value)
{
    value_slot& kept = slot(value);
    if (!kept.fetching_from.empty()) {
        return;
    }
    config_fetch fetch;
    fetch.value = value;
    fetch.held = kept.fetch_complete ? 0 : kept.latest.revision;
    std::uint64_t best = kept.latest.revision;
    std::string const* from = nullptr;
    for (auto const& [name, announced] : m_announced) {
        if (announced.latest[value] > best) {
            best = announced.latest[value];
            from = &name;
        }
    }
    if (from == nullptr) {
        // A list that fails here may hide a good one that came between.
        best = std::max(kept.in_force.revision, kept.fallback.revision);
        fetch.held = 0;
        for (auto const& [name, announced] : m_announced) {
            std::uint64_t const good = announced.in_force[value];
            if (good > best && good < kept.latest.revision) {
                best = good;
                from = &name;
            }
        }
    }
    if (from == nullptr) {
        return;
    }
    fetch.wanted = best;
    kept.fetching_revision = best;
    kept.fetching_from = *from;
    kept.fetch_deadline = m_now + m_settings.fetch_timeout;
    m_out->push_back(send_message{*from, fetch});
}

void configuration::expire_fetches()
{
    for (value_slot& kept : m_slots) {
        if (kept.fetching_from.empty() || m_now < kept.fetch_deadline) {
            continue;
        }
        // Its next heartbeat brings it back; meanwhile another is asked.
        m_announced.erase(kept.fetching_from);
        kept.fetching_from.clear();
    }
}

bool configuration::behind_peers() const
{
    for (auto const& [name, announced] : m_announced) {
        for (std::size_t place = 0; place < m_slots.size(); ++place) {
            value_slot const& kept = m_slots[place];
            if (announced.latest.of[place] > kept.latest.revision
                || announced.in_force.of[place] > kept.in_force.revision) {
                return true;
            }
        }
    }
    return false;
}

bool configuration::has_caught_up() const
{
    bool const asked =
        std::all_of(m_slots.begin(), m_slots.end(), [](value_slot const& kept) {
            return kept.service_polled;
        });
    bool const listed =
        m_listed_revision >= slot_of(published_value::hosts).in_force.revision;
    bool const peers = m_announced.size() * 2 >= m_neighbours.size();
    return asked && listed && peers && !behind_peers();
}

// A starting host that took callers with what a stale service gives it would
// bring back a configuration that the rest of the fleet left long ago.
void configuration::check_ready()
{
    if (m_ready) {
        return;
    }
    for (value_slot const& kept : m_slots) {
        if (kept.in_force.body == nullptr) {
            return;
        }
    }
    if (has_caught_up() || m_now >= m_start_deadline) {
        m_ready = true;
        m_out->push_back(configuration_ready{});
    }
}

} // namespace caperjunction::fleet
