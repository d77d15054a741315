#ifndef CAPERJUNCTION_FLEET_VALUE_REVISIONS_HPP
#define CAPERJUNCTION_FLEET_VALUE_REVISIONS_HPP

#include "fleet/published_value.hpp"

#include <array>
#include <cstdint>

namespace caperjunction::fleet {

/// One revision for each published value; 0 where none is known.
struct value_revisions
{
    std::array<std::uint64_t, published_value_count> of{};

    std::uint64_t operator[](published_value value) const
    {
        return of[index_of(value)];
    }

    friend bool operator==(value_revisions const&,
                           value_revisions const&) = default;
};

} // namespace caperjunction::fleet

#endif
