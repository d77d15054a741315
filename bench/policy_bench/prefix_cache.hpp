#ifndef CAPERJUNCTION_BENCH_PREFIX_CACHE_HPP
#define CAPERJUNCTION_BENCH_PREFIX_CACHE_HPP

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace caperjunction::bench {

/// Blocks of prompt prefixes that an engine keeps, the longest unused going
/// first when there is no room.
///
/// Thread safety: none.
class prefix_cache
{
public:
    /// Leading blocks that are held; they count as used now.
    std::size_t match(std::vector<std::uint64_t> const& blocks);

    /// Keeps these blocks, and no more than `limit` in all.
    void store(std::vector<std::uint64_t> const& blocks, std::size_t limit);

    /// Drops the longest unused beyond `limit`.
    void shrink(std::size_t limit);

    void clear();

    std::size_t size() const
    {
        return m_order.size();
    }

    /// What was stored and evicted since the last call.
    std::vector<std::uint64_t> take_stored();
    std::vector<std::uint64_t> take_evicted();

private:
    using order_list = std::list<std::uint64_t>;

    order_list m_order;
    std::unordered_map<std::uint64_t, order_list::iterator> m_places;
    std::vector<std::uint64_t> m_stored;
    std::vector<std::uint64_t> m_evicted;
};

} // namespace caperjunction::bench

#endif
