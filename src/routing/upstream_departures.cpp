#include "routing/upstream_directory.hpp"

namespace caperjunction::routing {
namespace {

/// Bounds the memory for upstreams that were dropped.
constexpr std::size_t max_departed = 1'024;

} // namespace

void upstream_directory::withhold(std::string const& id, model::time_point now)
{
    auto const state = find(id);
    auto const departed = m_departed.find(id);
    if (state == nullptr || departed == m_departed.end()
        || departed->second.started != state->description.started) {
        return;
    }
    m_withheld[id] = now + withhold_time;
    state->is_retired = true;
    rebuild_list(state->description.service);
}

void upstream_directory::release(std::string const& id)
{
    if (m_withheld.erase(id) == 0) {
        return;
    }
    if (auto const state = find(id)) {
        state->is_retired = state->description.draining || state->is_leaving;
        rebuild_list(state->description.service);
    }
}

bool upstream_directory::has_left(upstream const& described) const
{
    auto const departed = m_departed.find(described.id);
    return departed != m_departed.end() && departed->second.was_leaving
           && departed->second.started == described.started;
}

void upstream_directory::record_departure(upstream_state const& state)
{
    upstream const& described = state.description;
    if (described.started == 0) {
        return;
    }
    auto const [departed, is_new] = m_departed.try_emplace(described.id);
    departed->second = {described.started, state.is_leaving};
    if (!is_new) {
        return;
    }
    m_departed_order.push_back(described.id);
    if (m_departed_order.size() > max_departed) {
        m_departed.erase(m_departed_order.front());
        m_departed_order.pop_front();
    }
}

} // namespace caperjunction::routing
