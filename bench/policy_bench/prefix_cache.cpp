#include "bench/policy_bench/prefix_cache.hpp"

#include <utility>

namespace caperjunction::bench {

std::size_t prefix_cache::match(std::vector<std::uint64_t> const& blocks)
{
    std::size_t matched = 0;
    for (std::uint64_t const block : blocks) {
        auto const found = m_places.find(block);
        if (found == m_places.end()) {
            break;
        }
        m_order.splice(m_order.begin(), m_order, found->second);
        ++matched;
    }
    return matched;
}

void prefix_cache::store(std::vector<std::uint64_t> const& blocks,
                         std::size_t limit)
{
    // Stores in reverse order, so that the leading blocks, which other prompts
    // share, are the most recently used and evicted last.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        auto const found = m_places.find(*block);
        if (found != m_places.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            continue;
        }
        m_order.push_front(*block);
        m_places[*block] = m_order.begin();
        m_stored.push_back(*block);
    }
    shrink(limit);
}

void prefix_cache::shrink(std::size_t limit)
{
    while (m_order.size() > limit) {
        m_evicted.push_back(m_order.back());
        m_places.erase(m_order.back());
        m_order.pop_back();
    }
}

void prefix_cache::clear()
{
    m_order.clear();
    m_places.clear();
    m_stored.clear();
    m_evicted.clear();
}

std::vector<std::uint64_t> prefix_cache::take_stored()
{
    return std::exchange(m_stored, {});
}

std::vector<std::uint64_t> prefix_cache::take_evicted()
{
    return std::exchange(m_evicted, {});
}

} // namespace caperjunction::bench
