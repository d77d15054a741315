#ifndef CAPERJUNCTION_ROUTING_STORE_REVISIONS_HPP
#define CAPERJUNCTION_ROUTING_STORE_REVISIONS_HPP

#include <algorithm>
#include <cstdint>

namespace caperjunction::routing {

/// What hosts give each other separately: a leave of some hundred bytes must
/// not wait for a configuration of some hundred kilobytes.
enum class list_kind : std::uint8_t
{
    upstreams,
    configuration,
};

/// How far a host knows the platform's store.
struct store_revisions
{
    /// All changes of upstreams' entries up to it are applied.
    std::uint64_t upstreams = 0;
    /// Of the newest configuration that is known; 0: there is none.
    std::uint64_t configuration = 0;
    /// Up to it the store had no newer configuration.
    std::uint64_t checked = 0;

    std::uint64_t of(list_kind which) const
    {
        return which == list_kind::upstreams ? upstreams : configuration;
    }

    /// All changes of any kind up to it are applied.
    std::uint64_t all() const
    {
        return std::min(upstreams, checked);
    }

    /// Whether the configuration known here is at least as new as what a host
    /// that knows `told` has: what that host has confirmed holds here too. One
    /// of an earlier version doesn't name its configuration.
    bool covers_configuration(store_revisions const& other) const
    {
        return other.configuration != 0 && configuration >= other.configuration;
    }

    /// Whether both hold the same changes; a confirmation that there are no
    /// others is no reason to tell anybody at once.
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
