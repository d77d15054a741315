#ifndef CAPERJUNCTION_FLEET_DELTA_CHAIN_HPP
#define CAPERJUNCTION_FLEET_DELTA_CHAIN_HPP

#include "fleet/delta.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace caperjunction::fleet {

/// Recent deltas of one value, each relative to the one before.
///
/// Thread safety: none; owned by one task.
class delta_chain
{
public:
    /// Appends the deltas that start at revision `base`. A chain that doesn't
    /// end at `base` is cleared first. Drops the oldest deltas above `memory`
    /// bytes.
    void append(std::uint64_t base,
                std::vector<delta> const& deltas,
                std::size_t memory);

    /// Removes all deltas.
    void clear();

    /// Returns the deltas from revision `held` to the end, or nothing if they
    /// are not stored or exceed `max_bytes`.
    std::optional<std::vector<delta>> since(std::uint64_t held,
                                            std::size_t max_bytes) const;

private:
    std::uint64_t m_base = 0;
    std::size_t m_bytes = 0;
    std::deque<delta> m_deltas;
};

} // namespace caperjunction::fleet

#endif
