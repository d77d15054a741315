#ifndef CAPERJUNCTION_DECIDE_PREFIX_INDEX_HPP
#define CAPERJUNCTION_DECIDE_PREFIX_INDEX_HPP

#include "decide/indices.hpp"
#include "model/time.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace caperjunction::decide {

/// An engine that is believed to hold a leading part of a prompt.
struct prefix_holder
{
    index engine = no_index;
    /// Leading blocks of the prompt that it holds.
    std::uint32_t blocks = 0;
    /// Age of that knowledge.
    model::seconds age{0};
};

/// Remembers which engines hold which prompt blocks, in bounded memory.
///
/// It is a guess, not a copy of the engines' caches: their events are late
/// and have gaps, and blocks are dropped without a word. Old entries make
/// room for new ones; a wrong one costs a prefill, never an answer.
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

    /// Engines that hold the most leading blocks; the rest are `no_index`.
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
