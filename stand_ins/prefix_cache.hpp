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

/// Remembers the blocks of recent prompts, least recently used out first.
///
/// Thread safety: none.
class prefix_cache
{
public:
    /// Told of each block that comes (true) and goes (false).
    using change_hook = std::function<void(std::uint64_t block, bool stored)>;

    prefix_cache(std::size_t capacity, change_hook changed);

    /// Takes in a prompt; the share of it that was there before, 0..1.
    double use(std::string_view model, std::string_view prompt);
    void clear();

    std::size_t size() const
    {
        return m_places.size();
    }

private:
    static std::vector<std::uint64_t> blocks(std::string_view model,
                                             std::string_view prompt);
    void store(std::uint64_t block);

    std::size_t m_capacity;
    change_hook m_changed;
    /// Most recently used first.
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        m_places;
};

} // namespace caperjunction::stand_ins

#endif
