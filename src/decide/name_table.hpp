#ifndef CAPERJUNCTION_DECIDE_NAME_TABLE_HPP
#define CAPERJUNCTION_DECIDE_NAME_TABLE_HPP

#include "decide/indices.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace caperjunction::decide {

/// Gives each name a dense number that never changes.
///
/// Thread safety: none; owned by one task.
class name_table
{
public:
    /// The number of `name`, which is new if it was not known.
    index intern(std::string const& name)
    {
        auto const [found, added] =
            m_indices.try_emplace(name, static_cast<index>(m_names.size()));
        if (added) {
            m_names.push_back(name);
        }
        return found->second;
    }

    /// `no_index` if the name is not known.
    index find(std::string const& name) const
    {
        auto const found = m_indices.find(name);
        return found == m_indices.end() ? no_index : found->second;
    }

    /// \pre place < size().
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
