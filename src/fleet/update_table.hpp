#ifndef CAPERJUNCTION_FLEET_UPDATE_TABLE_HPP
#define CAPERJUNCTION_FLEET_UPDATE_TABLE_HPP

#include "fleet/membership_message.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// The highest rumour about each host. Rumours about one host are totally
/// ordered and only a higher one is taken, so that every order of delivery,
/// and any number of repetitions, ends in the same table everywhere.
///
/// Thread safety: none; owned by one task.
class update_table
{
public:
    /// `check_generation` is off only to measure what the check is worth:
    /// then rounds alone decide, and a host's next process inherits what was
    /// said of the last one.
    explicit update_table(bool check_generation)
        : m_check_generation(check_generation)
    {
    }

    /// Whether `right` outranks `left`.
    bool is_superseded_by(membership_update const& left,
                          membership_update const& right) const;

    /// Takes `rumour` if it outranks what is held; true if it did.
    bool merge(membership_update const& update);

    /// What is held; generation 0 if nothing is.
    membership_update find(std::string const& host) const;

    /// Drops every host that `listed` doesn't name.
    template <typename Listed>
    void retain_only(Listed listed)
    {
        std::erase_if(m_updates, [&](auto const& entry) {
            return !listed(entry.first);
        });
        rehash();
    }

    std::vector<membership_update> all() const;

    /// Equal for equal tables.
    std::uint64_t hash() const
    {
        return m_hash;
    }

private:
    void rehash();

    bool m_check_generation;
    std::map<std::string, membership_update> m_updates;
    std::uint64_t m_hash = 0;
};

} // namespace caperjunction::fleet

#endif
