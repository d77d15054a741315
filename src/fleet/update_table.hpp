#ifndef CAPERJUNCTION_FLEET_UPDATE_TABLE_HPP
#define CAPERJUNCTION_FLEET_UPDATE_TABLE_HPP

#include "fleet/membership_message.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// The highest update about each host.
///
/// Updates about one host are totally ordered, and only a higher one is merged.
/// Every order of delivery and any number of repetitions therefore converge to
/// the same table on all hosts.
///
/// Thread safety: none; owned by one task.
class update_table
{
public:
    /// `check_generation` is false only in benchmarks that measure the effect
    /// of the check: then only suspicion counts are compared, and a host's next
    /// process inherits the updates about the previous one.
    explicit update_table(bool check_generation)
        : m_check_generation(check_generation)
    {
    }

    /// Returns whether `right` supersedes `left`.
    bool is_superseded_by(membership_update const& left,
                          membership_update const& right) const;

    /// Stores `update` if it supersedes the stored one. Returns whether the
    /// table has changed.
    bool merge(membership_update const& update);

    /// Returns the stored update; its generation is 0 if there is none.
    membership_update find(std::string const& host) const;

    /// Removes every host for which `listed` returns false.
    template <typename Listed>
    void retain_only(Listed listed)
    {
        std::erase_if(m_updates, [&](auto const& entry) {
            return !listed(entry.first);
        });
        rehash();
    }

    std::vector<membership_update> all() const;

    /// Returns a hash of the table; equal for equal tables.
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
