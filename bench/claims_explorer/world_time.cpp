#include "bench/claims_explorer/world.hpp"

#include <algorithm>

namespace caperjunction::claims_explorer {

void world::adopt(std::size_t host, std::size_t list)
{
    mutable_node(host).list = list;
    fleet::claim_view_listed const event{m_scenario->lists[list]};
    handle_event(host, fleet::witness_event(event));
    handle_event(host, fleet::claimant_event(event));
}

// A host with an outdated list can only confirm it up to the publication of
// the next list.
void world::confirm(std::size_t host)
{
    node& one = mutable_node(host);
    bool const newest = one.list + 1 == m_published.size();
    auto const as_of = newest ? m_now : m_published[one.list + 1];
    if (newest) {
        one.was_paused = false;
        one.ticked_after_pause = false;
    }
    fleet::claim_view_confirmed const event{as_of};
    handle_event(host, fleet::witness_event(event));
    handle_event(host, fleet::claimant_event(event));
}

void world::tick(std::size_t host)
{
    handle_event(host, fleet::witness_event(fleet::claim_tick{}));
    handle_event(host, fleet::claimant_event(fleet::claim_tick{}));
}

void world::restart(std::size_t host)
{
    auto const starts = m_members[host].state->starts;
    ++m_generations;
    m_members[host].state =
        std::make_shared<node>(*m_scenario, host, m_generations, false);
    m_members[host].hash = 0;
    mutable_node(host).starts = starts;
    adopt(host, m_published.size() - 1);
    confirm(host);
}

void world::leap(model::milliseconds by, std::size_t paused_host)
{
    auto const until = m_now + by;
    while (m_now < until) {
        m_now = std::min(m_now + m_scenario->tick, until);
        for (std::size_t host = 0; host < m_members.size(); ++host) {
            node const& one = *m_members[host].state;
            bool const is_paused = host == paused_host || one.was_paused;
            if (one.alive && !is_paused) {
                confirm(host);
                tick(host);
            }
        }
    }
    for (std::size_t host = 0; host < m_members.size(); ++host) {
        bool const is_paused = host == paused_host;
        node& one = mutable_node(host);
        one.was_paused = one.was_paused || is_paused;
        one.ticked_after_pause = one.ticked_after_pause && !is_paused;
    }
}

// Delivers all messages and completes all calls that may proceed.
void world::drain_messages()
{
    bool busy = true;
    while (busy) {
        busy = !m_in_flight.empty();
        while (!m_in_flight.empty()) {
            deliver(0, false);
        }
        for (std::size_t host = 0; host < scenario::entry_hosts; ++host) {
            auto const stage = m_members[host].state->stage;
            bool const alive = m_members[host].state->alive;
            if (alive && stage == call_stage::queued) {
                dispatch(host, true);
                busy = true;
            } else if (alive && stage == call_stage::dispatched) {
                end(host, model::outcome::ran);
                busy = true;
            }
        }
    }
}

void world::recover_hosts()
{
    for (std::size_t host = 0; host < m_members.size(); ++host) {
        node const& one = *m_members[host].state;
        bool const listed =
            m_scenario->lists[m_published.size() - 1]->is_witness(
                m_scenario->names[host], 0);
        if (!one.alive || (one.leaving && listed)) {
            restart(host);
        } else if (one.list + 1 < m_published.size()) {
            adopt(host, m_published.size() - 1);
        }
        confirm(host);
    }
}

bool world::is_quiescent() const
{
    return std::all_of(m_in_flight.begin(),
                       m_in_flight.end(),
                       [](message_in_flight const& one) {
                           return one.held;
                       });
}

bool world::is_stuck() const
{
    world copy = *this;
    copy.drain_messages();
    copy.leap(m_scenario->leaps.front(), step::no_host);
    copy.drain_messages();
    for (std::size_t host = 0; host < scenario::entry_hosts; ++host) {
        node const& one = *copy.m_members[host].state;
        bool const open =
            one.stage != call_stage::idle || one.claimant.active({1, 1});
        if (one.alive && !one.was_paused && open) {
            return true;
        }
    }
    copy.recover_hosts();
    copy.drain_messages();
    copy.leap(m_scenario->leaps.back(), step::no_host);
    copy.drain_messages();
    copy.start(0);
    copy.m_violations = {};
    while (!copy.m_in_flight.empty()) {
        copy.deliver(0, false);
    }
    return copy.m_members[0].state->stage != call_stage::queued;
}

} // namespace caperjunction::claims_explorer
