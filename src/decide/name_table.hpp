#ifndef CAPERJUNCTION_DECIDE_NAME_TABLE_HPP
#define CAPERJUNCTION_DECIDE_NAME_TABLE_HPP

#include "decide/indices.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace caperjunction::decide {

/// Assigns each name a dense number that never changes.
///
/// Thread safety: none; owned by one task.
class name_table
{
public:
    /// Returns the number of `name` and assigns the next one to a new name.
    index intern(std::string const& name)
    {
        auto const [found, added] =
            m_indices.try_emplace(name, static_cast<index>(m_names.size()));
        if (added) {
            m_names.push_back(name);
        }
        return found->second;
    }

    /// Returns `no_index` for an unknown name.
    index find(std::string const& name) const
    {
        auto const found = m_indices.find(name);
        return found == m_indices.end() ? no_index : found->second;
    }

    /// \pre position < size().
    std::string const& name(index position) const
    {
        return m_names[position];
    }

    std::size_t size() const
    {
        return m_names.size();
    }

private:
    std::unordered_map<std::string, index> m_indices;
    std::vector<std::string> m_names;
};

} // namespace caperjunction::decide

#endif
