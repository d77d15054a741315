#include "bench/claims_explorer/world.hpp"

namespace caperjunction::claims_explorer {

std::vector<step> world::steps() const
{
    std::vector<step> out;
    if (add_in_order_steps(out)) {
        return out;
    }
    add_message_steps(out);
    add_call_steps(out);
    add_list_steps(out);
    add_fault_steps(out);
    return out;
}

bool world::add_in_order_steps(std::vector<step>& out) const
{
    for (std::size_t index = 0; index < m_in_flight.size(); ++index) {
        auto const& one = m_in_flight[index];
        if (one.held || one.packet->is_unordered()) {
            continue;
        }
        out.push_back({step_kind::deliver, index});
        if (m_budget.holds > 0) {
            out.push_back({step_kind::hold, index});
        }
        if (m_budget.drops > 0) {
            out.push_back({step_kind::drop, index});
        }
        if (m_budget.duplicates > 0) {
            out.push_back({step_kind::deliver_twice, index});
        }
        return true;
    }
    return false;
}

void world::add_message_steps(std::vector<step>& out) const
{
    for (std::size_t index = 0; index < m_in_flight.size(); ++index) {
        out.push_back({step_kind::deliver, index});
        if (m_in_flight[index].held) {
            continue;
        }
        if (m_budget.drops > 0) {
            out.push_back({step_kind::drop, index});
        }
        if (m_budget.duplicates > 0) {
            out.push_back({step_kind::deliver_twice, index});
        }
    }
}

void world::add_call_steps(std::vector<step>& out) const
{
    for (std::size_t host = 0; host < scenario::entry_hosts; ++host) {
        node const& one = *m_members[host].state;
        if (!one.alive) {
            continue;
        }
        bool const first = one.starts == 0;
        if (!one.leaving && (first || m_budget.resends > 0)) {
            out.push_back({step_kind::start, host});
        }
        if (one.stage == call_stage::queued) {
            out.push_back({step_kind::dispatch_runs, host});
            out.push_back({step_kind::dispatch_refused, host});
        }
        if (one.stage == call_stage::dispatched) {
            out.push_back({step_kind::end, host});
        }
    }
}

void world::add_list_steps(std::vector<step>& out) const
{
    if (m_budget.lists > 0 && m_published.size() < m_scenario->lists.size()) {
        out.push_back({step_kind::publish, 0});
    }
    for (std::size_t host = 0; host < m_members.size(); ++host) {
        node const& one = *m_members[host].state;
        if (one.alive && one.list + 1 < m_published.size()) {
            out.push_back({step_kind::adopt, host});
        }
        if (one.alive && one.list + 2 < m_published.size()) {
            out.push_back({step_kind::adopt_newest, host});
        }
        if (one.alive && one.was_paused) {
            out.push_back({step_kind::confirm, host});
        }
        if (one.alive && one.was_paused && !one.ticked_after_pause) {
            out.push_back({step_kind::wake, host});
        }
    }
}

void world::add_fault_steps(std::vector<step>& out) const
{
    for (std::size_t host = 0; host < m_members.size(); ++host) {
        node const& one = *m_members[host].state;
        if (one.alive && m_budget.crashes > 0) {
            out.push_back({step_kind::crash, host});
        }
        if (!one.alive && m_budget.restarts > 0) {
            out.push_back({step_kind::restart, host});
        }
        if (one.alive && !one.leaving && m_budget.leaves > 0) {
            out.push_back({step_kind::leave, host});
        }
    }
    if (m_budget.leaps == 0) {
        return;
    }
    for (std::size_t leap = 0; leap < scenario::leap_kinds; ++leap) {
        out.push_back({step_kind::leap, leap});
        for (std::size_t host = 0; host < m_members.size(); ++host) {
            if (m_budget.pauses > 0 && m_members[host].state->alive) {
                out.push_back({step_kind::leap, leap, host});
            }
        }
    }
}

} // namespace caperjunction::claims_explorer
