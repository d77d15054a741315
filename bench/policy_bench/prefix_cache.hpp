#ifndef CAPERJUNCTION_BENCH_PREFIX_CACHE_HPP
#define CAPERJUNCTION_BENCH_PREFIX_CACHE_HPP

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace caperjunction::bench {

/// LRU cache of the prompt prefix blocks of an engine.
///
/// Thread safety: none.
class prefix_cache
{
public:
    /// Returns the number of leading blocks in the cache and marks them as
    /// used.
    std::size_t match(std::vector<std::uint64_t> const& blocks);

    /// Stores these blocks; evicts blocks beyond `limit` in total.
    void store(std::vector<std::uint64_t> const& blocks, std::size_t limit);

    /// Evicts the least recently used blocks beyond `limit`.
    void shrink(std::size_t limit);

    void clear();

    std::size_t size() const
    {
        return m_order.size();
    }

    /// Return the blocks stored and evicted since the last call.
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
