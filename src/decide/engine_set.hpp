#ifndef CAPERJUNCTION_DECIDE_ENGINE_SET_HPP
#define CAPERJUNCTION_DECIDE_ENGINE_SET_HPP

#include "decide/indices.hpp"

#include <unordered_map>
#include <vector>

namespace caperjunction::decide {

/// A set of engines with constant-time insertion, removal and random access.
///
/// Thread safety: none; owned by one task.
class engine_set
{
public:
    void insert(index engine)
    {
        auto const added = m_positions.try_emplace(engine, m_engines.size());
        if (added.second) {
            m_engines.push_back(engine);
        }
    }

    void erase(index engine)
    {
        auto const found = m_positions.find(engine);
        if (found == m_positions.end()) {
            return;
        }
        index const last = m_engines.back();
        m_engines[found->second] = last;
        m_positions[last] = found->second;
        m_engines.pop_back();
        m_positions.erase(engine);
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
    std::unordered_map<index, std::size_t> m_positions;
};

} // namespace caperjunction::decide

#endif
