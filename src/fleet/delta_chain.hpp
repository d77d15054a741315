#ifndef CAPERJUNCTION_FLEET_DELTA_CHAIN_HPP
#define CAPERJUNCTION_FLEET_DELTA_CHAIN_HPP

#include "fleet/delta.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace caperjunction::fleet {

/// The last splices of one value, each building on the one before.
///
/// Thread safety: none; owned by one task.
class delta_chain
{
public:
    /// Appends the splices that lead from `base` on. A chain that doesn't
    /// end at `base` is begun anew. Old ones go when `memory` is exceeded.
    void append(std::uint64_t base,
                std::vector<delta> const& deltas,
                std::size_t memory);

    /// Forgets all.
    void clear();

    /// The splices that lead from `held` to the end, or nothing if they
    /// aren't known or would take more than `most_bytes`.
    std::optional<std::vector<delta>> since(std::uint64_t held,
                                            std::size_t max_bytes) const;

private:
    std::uint64_t m_base = 0;
    std::size_t m_bytes = 0;
    std::deque<delta> m_deltas;
};

} // namespace caperjunction::fleet

#endif
