#include "program/removal_history.hpp"

#include <algorithm>

namespace caperjunction::program {
namespace {

/// Covers more than an hour of removals at the usual rate. Peers request
/// changes within a second.
constexpr std::size_t max_removals = 1'024;
constexpr std::size_t max_gaps = 16;

} // namespace

void removal_history::record(std::string const& key, routing::store_position at)
{
    routing::store_position& last = m_last[key];
    last = std::max(last, at);
    m_removed.emplace(at, key);
    if (m_removed.size() > max_removals) {
        forget_first();
    }
}

void removal_history::forget_first()
{
    auto const [at, key] = *m_removed.begin();
    m_removed.erase(m_removed.begin());
    m_known_since = std::max(m_known_since, at);
    auto const last = m_last.find(key);
    if (last != m_last.end() && last->second == at) {
        m_last.erase(last);
    }
}

void removal_history::skip(routing::store_position from,
                           routing::store_position to)
{
    if (to <= from) {
        return;
    }
    m_gaps.push_back({from, to});
    if (m_gaps.size() > max_gaps) {
        m_known_since = std::max(m_known_since, m_gaps.front().to);
        m_gaps.pop_front();
    }
}

bool removal_history::covers(routing::store_position since) const
{
    auto const is_inside = [since](gap const& it) {
        return it.from < since && since < it.to;
    };
    return since >= m_known_since
           && std::none_of(m_gaps.begin(), m_gaps.end(), is_inside);
}

routing::store_position removal_history::known_since() const
{
    routing::store_position last = m_known_since;
    for (gap const& it : m_gaps) {
        last = std::max(last, it.to);
    }
    return last;
}

std::vector<std::pair<routing::store_position, std::string>>
removal_history::after(routing::store_position since) const
{
    auto const first = std::find_if(
        m_removed.begin(), m_removed.end(), [since](auto const& removed) {
            return removed.first > since;
        });
    return {first, m_removed.end()};
}

routing::store_position removal_history::last_of(std::string const& key) const
{
    auto const found = m_last.find(key);
    return found == m_last.end() ? routing::store_position{} : found->second;
}

} // namespace caperjunction::program
