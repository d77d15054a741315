#include "decide/prefix_index.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// Blocks looked up for one prompt. Longer common prefixes are rare, and the
// leading blocks already distinguish the engines.
constexpr std::size_t max_lookups = 32;

std::uint32_t to_seconds(model::time_point now)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
            .count());
}

std::uint32_t last_update(std::array<std::uint32_t, 4> const& seconds)
{
    return *std::max_element(seconds.begin(), seconds.end());
}

} // namespace

prefix_index::prefix_index(std::size_t sets)
    : m_mask(sets - 1)
    , m_slots(sets * ways_per_set)
{
    for (slot& candidate : m_slots) {
        candidate.engines.fill(no_index);
        candidate.seconds.fill(0);
    }
}

void prefix_index::store(std::uint64_t block,
                         index engine,
                         model::time_point now)
{
    slot& target = find_or_replace(block);
    std::size_t position = 0;
    for (std::size_t candidate = 0; candidate < max_holders; ++candidate) {
        if (target.engines[candidate] == engine) {
            position = candidate;
            break;
        }
        if (target.seconds[candidate] < target.seconds[position]) {
            position = candidate;
        }
    }
    target.engines[position] = engine;
    target.seconds[position] = to_seconds(now);
}

void prefix_index::evict(std::uint64_t block, index engine)
{
    if (find_slot(block) == nullptr) {
        return;
    }
    slot& target = find_or_replace(block);
    for (std::size_t position = 0; position < max_holders; ++position) {
        if (target.engines[position] == engine) {
            target.engines[position] = no_index;
            target.seconds[position] = 0;
        }
    }
}

prefix_index::holders
prefix_index::find(std::vector<std::uint64_t> const& blocks,
                   model::time_point now) const
{
    holders found{};
    std::size_t filled = 0;
    std::uint32_t const now_seconds = to_seconds(now);
    // From the longest prefix down, so that each engine is found first with the
    // largest number of blocks.
    std::size_t length = std::min(blocks.size(), max_lookups);
    for (; length > 0 && filled < max_holders; --length) {
        slot const* const block_slot = find_slot(blocks[length - 1]);
        if (block_slot == nullptr) {
            continue;
        }
        for (std::size_t position = 0; position < max_holders; ++position) {
            index const engine = block_slot->engines[position];
            bool const is_listed =
                engine == no_index
                || std::any_of(found.begin(),
                               found.begin() + filled,
                               [&](auto const& holder) {
                                   return holder.engine == engine;
                               });
            if (!is_listed && filled < max_holders) {
                found[filled++] = {
                    engine,
                    static_cast<std::uint32_t>(length),
                    model::seconds(now_seconds
                                   - block_slot->seconds[position])};
            }
        }
    }
    return found;
}

prefix_index::slot const* prefix_index::find_slot(std::uint64_t block) const
{
    std::size_t const first = (block & m_mask) * ways_per_set;
    for (std::size_t way = 0; way < ways_per_set; ++way) {
        if (m_slots[first + way].block == block) {
            return &m_slots[first + way];
        }
    }
    return nullptr;
}

prefix_index::slot& prefix_index::find_or_replace(std::uint64_t block)
{
    std::size_t const first = (block & m_mask) * ways_per_set;
    std::size_t oldest = first;
    for (std::size_t way = 0; way < ways_per_set; ++way) {
        slot& candidate = m_slots[first + way];
        if (candidate.block == block) {
            return candidate;
        }
        if (last_update(candidate.seconds)
            < last_update(m_slots[oldest].seconds)) {
            oldest = first + way;
        }
    }
    slot& replaced = m_slots[oldest];
    replaced.block = block;
    replaced.engines.fill(no_index);
    replaced.seconds.fill(0);
    return replaced;
}

} // namespace caperjunction::decide
