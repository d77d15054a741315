#include "decide/prefix_index.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// Blocks looked up for one prompt; a longer common part is rare, and its
// leading blocks already tell the engines apart.
constexpr std::size_t max_lookups = 32;

std::uint32_t whole_seconds(model::time_point now)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
            .count());
}

std::uint32_t newest(std::array<std::uint32_t, 4> const& seconds)
{
    return *std::max_element(seconds.begin(), seconds.end());
}

} // namespace

prefix_index::prefix_index(std::size_t sets)
    : m_mask(sets - 1)
    , m_slots(sets * ways)
{
    for (slot& one : m_slots) {
        one.engines.fill(no_index);
        one.seconds.fill(0);
    }
}

void prefix_index::store(std::uint64_t block,
                         index engine,
                         model::time_point now)
{
    slot& own = claim(block);
    std::size_t place = 0;
    for (std::size_t other = 0; other < max_holders; ++other) {
        if (own.engines[other] == engine) {
            place = other;
            break;
        }
        if (own.seconds[other] < own.seconds[place]) {
            place = other;
        }
    }
    own.engines[place] = engine;
    own.seconds[place] = whole_seconds(now);
}

void prefix_index::evict(std::uint64_t block, index engine)
{
    if (look_up(block) == nullptr) {
        return;
    }
    slot& own = claim(block);
    for (std::size_t place = 0; place < max_holders; ++place) {
        if (own.engines[place] == engine) {
            own.engines[place] = no_index;
            own.seconds[place] = 0;
        }
    }
}

prefix_index::holders
prefix_index::find(std::vector<std::uint64_t> const& blocks,
                   model::time_point now) const
{
    holders found{};
    std::size_t filled = 0;
    std::uint32_t const present = whole_seconds(now);
    // From the longest part down, so that each engine is met first with the
    // most blocks it holds.
    std::size_t place = std::min(blocks.size(), max_lookups);
    for (; place > 0 && filled < max_holders; --place) {
        slot const* const known = look_up(blocks[place - 1]);
        if (known == nullptr) {
            continue;
        }
        for (std::size_t at = 0; at < max_holders; ++at) {
            index const engine = known->engines[at];
            bool const met = engine == no_index
                             || std::any_of(found.begin(),
                                            found.begin() + filled,
                                            [&](auto const& holder) {
                                                return holder.engine == engine;
                                            });
            if (!met && filled < max_holders) {
                found[filled++] = {
                    engine,
                    static_cast<std::uint32_t>(place),
                    model::seconds(present - known->seconds[at])};
            }
        }
    }
    return found;
}

prefix_index::slot const* prefix_index::look_up(std::uint64_t block) const
{
    std::size_t const first = (block & m_mask) * ways;
    for (std::size_t way = 0; way < ways; ++way) {
        if (m_slots[first + way].block == block) {
            return &m_slots[first + way];
        }
    }
    return nullptr;
}

prefix_index::slot& prefix_index::claim(std::uint64_t block)
{
    std::size_t const first = (block & m_mask) * ways;
    std::size_t oldest = first;
    for (std::size_t way = 0; way < ways; ++way) {
        slot& one = m_slots[first + way];
        if (one.block == block) {
            return one;
        }
        if (newest(one.seconds) < newest(m_slots[oldest].seconds)) {
            oldest = first + way;
        }
    }
    slot& fresh = m_slots[oldest];
    fresh.block = block;
    fresh.engines.fill(no_index);
    fresh.seconds.fill(0);
    return fresh;
}

} // namespace caperjunction::decide
