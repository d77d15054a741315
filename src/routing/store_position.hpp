#ifndef CAPERJUNCTION_ROUTING_STORE_POSITION_HPP
#define CAPERJUNCTION_ROUTING_STORE_POSITION_HPP

#include <cstdint>

namespace caperjunction::routing {

/// A point in the history of the platform's store.
///
/// Revisions order changes within an era only. A store that comes back from an
/// older copy begins a new era, in which it gives revisions out again: by the
/// revision alone, a host would take the new changes for ones that it has.
///
/// Thread safety: any thread.
struct store_position
{
    /// 0 if the store names none.
    std::uint64_t era = 0;
    /// 0: before any change of the era.
    std::uint64_t revision = 0;

    constexpr store_position() = default;

    /// A bare revision is one of a store that names no era.
    constexpr store_position(std::uint64_t at, std::uint64_t in_era = 0)
        : era(in_era)
        , revision(at)
    {
    }

    /// Whether it is after the beginning of all history.
    bool is_set() const
    {
        return era != 0 || revision != 0;
    }

    friend bool operator==(store_position const&,
                           store_position const&) = default;

    friend bool operator<(store_position const& a, store_position const& b)
    {
        return a.era != b.era ? a.era < b.era : a.revision < b.revision;
    }

    friend bool operator>(store_position const& a, store_position const& b)
    {
        return b < a;
    }

    friend bool operator<=(store_position const& a, store_position const& b)
    {
        return !(b < a);
    }

    friend bool operator>=(store_position const& a, store_position const& b)
    {
        return !(a < b);
    }
};

} // namespace caperjunction::routing

#endif
