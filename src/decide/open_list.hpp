#ifndef CAPERJUNCTION_DECIDE_OPEN_LIST_HPP
#define CAPERJUNCTION_DECIDE_OPEN_LIST_HPP

#include "decide/indices.hpp"

#include <unordered_map>
#include <vector>

namespace caperjunction::decide {

/// A set of engines that can be sampled, changed and tested in constant time.
///
/// Thread safety: none; owned by one task.
class open_list
{
public:
    void insert(index engine)
    {
        auto const added = m_places.try_emplace(engine, m_engines.size());
        if (added.second) {
            m_engines.push_back(engine);
        }
    }

    void erase(index engine)
    {
        auto const found = m_places.find(engine);
        if (found == m_places.end()) {
            return;
        }
        index const last = m_engines.back();
        m_engines[found->second] = last;
        m_places[last] = found->second;
        m_engines.pop_back();
        m_places.erase(engine);
    }

    std::vector<index> const& engines() const
    {
        return m_engines;
    }

    bool empty() const
    {
        return m_engines.empty();
    }

private:
    std::vector<index> m_engines;
    std::unordered_map<index, std::size_t> m_places;
};

} // namespace caperjunction::decide

#endif
