#include "program/trail.hpp"

#include <utility>

namespace caperjunction::program {

void trail::add(model::request_id id, trail_step step)
{
    auto const [entry, added] = m_steps.try_emplace(id);
    if (added) {
        m_order.push_back(id);
    }
    if (entry->second.size() < max_steps) {
        entry->second.push_back(std::move(step));
    }
    if (m_order.size() > max_requests) {
        m_steps.erase(m_order.front());
        m_order.pop_front();
    }
}

std::vector<trail_step> const& trail::steps(model::request_id id) const
{
    static std::vector<trail_step> const s_none;
    auto const found = m_steps.find(id);
    return found == m_steps.end() ? s_none : found->second;
}

} // namespace caperjunction::program
