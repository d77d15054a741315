#ifndef CAPERJUNCTION_ROUTING_STORE_REVISIONS_HPP
#define CAPERJUNCTION_ROUTING_STORE_REVISIONS_HPP

#include <algorithm>
#include <cstdint>

namespace caperjunction::routing {

/// List kinds that hosts send to each other separately. A removal of some
/// hundred bytes must not wait for a configuration of some hundred kilobytes.
enum class list_kind : std::uint8_t
{
    upstreams,
    configuration,
};

/// Revisions of the platform's store that a host has applied.
struct store_revisions
{
    /// All changes of upstream entries up to this revision are applied.
    std::uint64_t upstreams = 0;
    /// Revision of the newest known configuration; 0 if there is none.
    std::uint64_t configuration = 0;
    /// The store had no newer configuration up to this revision.
    std::uint64_t checked = 0;

    std::uint64_t of(list_kind which) const
    {
        return which == list_kind::upstreams ? upstreams : configuration;
    }

    /// Returns the revision up to which all changes of any kind are applied.
    std::uint64_t all() const
    {
        return std::min(upstreams, checked);
    }

    /// Returns whether the configuration of this host is at least as new as
    /// that of a host with revisions `other`. If so, what that host has
    /// confirmed is valid here too. A host of an earlier version does not
    /// report the revision of its configuration.
    bool covers_configuration(store_revisions const& other) const
    {
        return other.configuration != 0 && configuration >= other.configuration;
    }

    /// Returns whether both contain the same changes. A confirmation without
    /// changes need not be sent to other hosts at once.
    bool has_same_changes_as(store_revisions const& other) const
    {
        return upstreams == other.upstreams
               && configuration == other.configuration;
    }

    friend bool operator==(store_revisions const&,
                           store_revisions const&) = default;
};

} // namespace caperjunction::routing

#endif
