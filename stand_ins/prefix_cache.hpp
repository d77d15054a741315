#ifndef CAPERJUNCTION_STAND_INS_PREFIX_CACHE_HPP
#define CAPERJUNCTION_STAND_INS_PREFIX_CACHE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace caperjunction::stand_ins {

/// LRU cache of the block hashes of recent prompts.
///
/// Thread safety: none.
class prefix_cache
{
public:
    /// Called for each block that is stored (true) or evicted (false).
    using change_hook = std::function<void(std::uint64_t block, bool stored)>;

    prefix_cache(std::size_t capacity, change_hook on_change);

    /// Inserts the block hashes of a prompt. Returns the fraction of them,
    /// counted from the start, that was cached before, 0..1.
    double use(std::string_view model, std::string_view prompt);
    void clear();

    std::size_t size() const
    {
        return m_positions.size();
    }

private:
    static std::vector<std::uint64_t> block_hashes(std::string_view model,
                                                   std::string_view prompt);
    void store(std::uint64_t block);

    std::size_t m_capacity;
    change_hook m_on_change;
    /// Ordered from the most to the least recently used.
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        m_positions;
};

} // namespace caperjunction::stand_ins

#endif
