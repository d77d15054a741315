#include "bench/claims_explorer/world.hpp"

#include <algorithm>

namespace caperjunction::claims_explorer {

void world::adopt(std::size_t host, std::size_t list)
{
    edit(host).list = list;
    fleet::claim_view_listed const event{m_fixed->lists[list]};
    tell(host, fleet::witness_event(event));
    tell(host, fleet::claimant_event(event));
}

// A host that goes by an older list can only vouch for the time until the
// next one came out.
void world::confirm(std::size_t host)
{
    node& one = edit(host);
    bool const newest = one.list + 1 == m_published.size();
    auto const as_of = newest ? m_now : m_published[one.list + 1];
    if (newest) {
        one.slept = false;
        one.woke = false;
    }
    fleet::claim_view_confirmed const event{as_of};
    tell(host, fleet::witness_event(event));
    tell(host, fleet::claimant_event(event));
}

void world::tick(std::size_t host)
{
    tell(host, fleet::witness_event(fleet::claim_tick{}));
    tell(host, fleet::claimant_event(fleet::claim_tick{}));
}

void world::restart(std::size_t host)
{
    auto const starts = m_members[host].state->starts;
    ++m_generations;
    m_members[host].state =
        std::make_shared<node>(*m_fixed, host, m_generations, false);
    m_members[host].hash = 0;
    edit(host).starts = starts;
    adopt(host, m_published.size() - 1);
    confirm(host);
}

void world::leap(model::milliseconds by, std::size_t sleeper)
{
    auto const until = m_now + by;
    while (m_now < until) {
        m_now = std::min(m_now + m_fixed->tick, until);
        for (std::size_t host = 0; host < m_members.size(); ++host) {
            node const& one = *m_members[host].state;
            bool const asleep = host == sleeper || one.slept;
            if (one.alive && !asleep) {
                confirm(host);
                tick(host);
            }
        }
    }
    for (std::size_t host = 0; host < m_members.size(); ++host) {
        bool const asleep = host == sleeper;
        node& one = edit(host);
        one.slept = one.slept || asleep;
        one.woke = one.woke && !asleep;
    }
}

// All messages arrive, all calls that were let through end.
void world::drain()
{
    bool busy = true;
    while (busy) {
        busy = !m_flights.empty();
        while (!m_flights.empty()) {
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

void world::heal()
{
    for (std::size_t host = 0; host < m_members.size(); ++host) {
        node const& one = *m_members[host].state;
        bool const listed = m_fixed->lists[m_published.size() - 1]->is_witness(
            m_fixed->names[host], 0);
        if (!one.alive || (one.leaving && listed)) {
            restart(host);
        } else if (one.list + 1 < m_published.size()) {
            adopt(host, m_published.size() - 1);
        }
        confirm(host);
    }
}

bool world::quiet() const
{
    return std::all_of(
        m_flights.begin(), m_flights.end(), [](flight const& one) {
            return one.held;
        });
}

bool world::stuck() const
{
    world copy = *this;
    copy.drain();
    copy.leap(m_fixed->leaps.front(), step::no_host);
    copy.drain();
    for (std::size_t host = 0; host < scenario::entry_hosts; ++host) {
        node const& one = *copy.m_members[host].state;
        bool const open =
            one.stage != call_stage::idle || one.claimant.active({1, 1});
        if (one.alive && !one.slept && open) {
            return true;
        }
    }
    copy.heal();
    copy.drain();
    copy.leap(m_fixed->leaps.back(), step::no_host);
    copy.drain();
    copy.start(0);
    copy.m_found = {};
    while (!copy.m_flights.empty()) {
        copy.deliver(0, false);
    }
    return copy.m_members[0].state->stage != call_stage::queued;
}

} // namespace caperjunction::claims_explorer
