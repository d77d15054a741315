#ifndef CAPERJUNCTION_ROUTING_STORE_REVISIONS_HPP
#define CAPERJUNCTION_ROUTING_STORE_REVISIONS_HPP

#include "routing/store_position.hpp"

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

/// What a host has of the platform's store.
struct store_revisions
{
    /// All changes of upstream entries up to here are applied.
    store_position upstreams;
    /// Version of the newest known configuration; 0 if there is none.
    ///
    /// A store that comes back from a copy may hold an older configuration at a
    /// newer position. A host that took it would accept revoked keys again, so
    /// that configurations are ordered by their own version.
    std::uint64_t configuration = 0;
    /// The store had no newer configuration up to here.
    store_position checked;
    /// Revision of that configuration. Hosts of earlier versions order
    /// configurations by it.
    std::uint64_t configuration_revision = 0;

    /// Returns the position up to which all changes of any kind are applied.
    store_position all() const
    {
        return std::min(upstreams, checked);
    }

    /// Returns whether a host with these has changes that one with `other`
    /// lacks.
    bool has_newer(list_kind which, store_revisions const& other) const
    {
        return which == list_kind::upstreams ? upstreams > other.upstreams
                                             : has_newer_configuration(other);
    }

    /// Returns whether the configuration of this host is at least as new as
    /// that of a host with revisions `other`. If so, what that host has
    /// confirmed is valid here too, unless it read that in an earlier era: this
    /// one may have begun without changes that were confirmed then.
    bool covers_configuration(store_revisions const& other) const
    {
        bool const has_any =
            other.configuration != 0 || other.configuration_revision != 0;
        return has_any && other.checked.era >= checked.era
               && !other.has_newer_configuration(*this);
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

private:
    // A host of an earlier version names no configuration's version. Its
    // revisions can be compared as long as the store names no era.
    bool has_newer_configuration(store_revisions const& other) const
    {
        if (configuration != 0) {
            return configuration > other.configuration;
        }
        return other.checked.era == 0
               && configuration_revision > other.configuration_revision;
    }
};

} // namespace caperjunction::routing

#endif
