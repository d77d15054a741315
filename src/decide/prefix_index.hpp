#ifndef CAPERJUNCTION_DECIDE_PREFIX_INDEX_HPP
#define CAPERJUNCTION_DECIDE_PREFIX_INDEX_HPP

#include "decide/indices.hpp"
#include "model/time.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace caperjunction::decide {

/// An engine that probably holds leading blocks of a prompt.
struct prefix_holder
{
    index engine = no_index;
    /// Number of leading blocks that it holds.
    std::uint32_t blocks = 0;
    /// Time since the blocks were recorded.
    model::seconds age{0};
};

/// Maps prompt blocks to the engines that hold them, in bounded memory.
///
/// The index is an approximation of the engines' caches: their events are
/// delayed and have gaps, and blocks are evicted without notice. New entries
/// replace old ones. A wrong entry costs a prefill and never a wrong answer.
///
/// Thread safety: none; owned by one task.
class prefix_index
{
public:
    static constexpr std::size_t max_holders = 4;
    using holders = std::array<prefix_holder, max_holders>;

    /// \pre sets is a power of two.
    explicit prefix_index(std::size_t sets);

    void store(std::uint64_t block, index engine, model::time_point now);

    void evict(std::uint64_t block, index engine);

    /// Engines with the most leading blocks; unused elements are `no_index`.
    holders find(std::vector<std::uint64_t> const& blocks,
                 model::time_point now) const;

    std::size_t bytes() const
    {
        return m_slots.size() * sizeof(slot);
    }

private:
    static constexpr std::size_t ways_per_set = 4;

    struct slot
    {
        std::uint64_t block = 0;
        std::array<index, max_holders> engines;
        std::array<std::uint32_t, max_holders> seconds;
    };

    slot const* find_slot(std::uint64_t block) const;
    slot& find_or_replace(std::uint64_t block);

    std::size_t m_mask;
    std::vector<slot> m_slots;
};

} // namespace caperjunction::decide

#endif
