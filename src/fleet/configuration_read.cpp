#include "fleet/configuration.hpp"

#include <algorithm>

namespace caperjunction::fleet {
namespace {

// Added to the wait at the service; after that the answer counts as lost.
constexpr model::milliseconds answer_margin{10'000};
constexpr model::milliseconds no_wait{0};

} // namespace

model::milliseconds configuration::jittered(model::milliseconds mean)
{
    // 0.5 to 1.5 times the mean, so that hosts that lost the service at
    // the same time don't reconnect at the same time.
    std::uniform_int_distribution<std::int64_t> distribution(0, mean.count());
    return mean / 2 + model::milliseconds(distribution(m_random));
}

bool configuration::peers_are_silent() const
{
    return m_now - m_last_announce >= m_settings.peer_silence_limit;
}

void configuration::watch(published_value value, model::milliseconds wait)
{
    value_slot& entry = slot(value);
    bool const timed_out = m_now >= entry.watch_deadline;
    if ((entry.watching && !timed_out) || m_now < entry.next_watch) {
        return;
    }
    entry.watching = true;
    entry.watch_deadline = m_now + wait + answer_margin;
    m_out->push_back(watch_value{value, entry.latest.revision, wait});
}

// Watchers hold long polls. All others poll at a mean period that keeps the
// load of the fleet well below the service's capacity: a short period while
// peers are silent, a long one otherwise, in case no watcher can reach the
// service.
void configuration::poll_service()
{
    if (m_is_watcher && m_ready) {
        watch_all(m_settings.watch_wait);
        return;
    }
    schedule_direct_read();
    if (m_now < m_next_direct_read) {
        return;
    }
    bool const use_short_period = peers_are_silent() || !m_ready;
    m_next_direct_read =
        m_now
        + jittered(use_short_period ? m_settings.direct_read_period
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

// Fetches a body from one peer at a time. Six neighbours announce a change
// within milliseconds, and five of six bodies would be wasted.
void configuration::fetch_missing(published_value value)
{
    value_slot& entry = slot(value);
    if (!entry.fetching_from.empty()) {
        return;
    }
    config_fetch fetch;
    fetch.value = value;
    fetch.held = entry.fetch_complete ? 0 : entry.latest.revision;
    std::uint64_t best = entry.latest.revision;
    std::string const* from = nullptr;
    for (auto const& [name, announced] : m_announced) {
        if (announced.latest[value] > best) {
            best = announced.latest[value];
            from = &name;
        }
    }
    if (from == nullptr) {
        // `latest` fails its checks here, but peers may have a valid revision
        // between it and the one in force.
        best = std::max(entry.in_force.revision, entry.fallback.revision);
        fetch.held = 0;
        for (auto const& [name, announced] : m_announced) {
            std::uint64_t const revision_in_force = announced.in_force[value];
            if (revision_in_force > best
                && revision_in_force < entry.latest.revision) {
                best = revision_in_force;
                from = &name;
            }
        }
    }
    if (from == nullptr) {
        return;
    }
    fetch.wanted = best;
    entry.fetching_revision = best;
    entry.fetching_from = *from;
    entry.fetch_deadline = m_now + m_settings.fetch_timeout;
    m_out->push_back(send_message{*from, fetch});
}

void configuration::expire_fetches()
{
    for (value_slot& entry : m_slots) {
        if (entry.fetching_from.empty() || m_now < entry.fetch_deadline) {
            continue;
        }
        // The next heartbeat restores the announcement; until then another peer
        // is used.
        m_announced.erase(entry.fetching_from);
        entry.fetching_from.clear();
    }
}

bool configuration::behind_peers() const
{
    for (auto const& [name, announced] : m_announced) {
        for (std::size_t index = 0; index < m_slots.size(); ++index) {
            value_slot const& entry = m_slots[index];
            if (announced.latest.of[index] > entry.latest.revision
                || announced.in_force.of[index] > entry.in_force.revision) {
                return true;
            }
        }
    }
    return false;
}

bool configuration::has_caught_up() const
{
    bool const all_polled = std::all_of(
        m_slots.begin(), m_slots.end(), [](value_slot const& entry) {
            return entry.service_polled;
        });
    bool const listed =
        m_listed_revision >= slot_of(published_value::hosts).in_force.revision;
    bool const peers = m_announced.size() * 2 >= m_neighbours.size();
    return all_polled && listed && peers && !behind_peers();
}

// A starting host that accepted callers with the values of a stale service
// would use a configuration that the rest of the fleet replaced long ago.
void configuration::check_ready()
{
    if (m_ready) {
        return;
    }
    for (value_slot const& entry : m_slots) {
        if (entry.in_force.body == nullptr) {
            return;
        }
    }
    if (has_caught_up() || m_now >= m_start_deadline) {
        m_ready = true;
        m_out->push_back(configuration_ready{});
    }
}

} // namespace caperjunction::fleet
