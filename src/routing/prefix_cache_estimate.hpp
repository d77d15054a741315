#ifndef CAPERJUNCTION_ROUTING_PREFIX_CACHE_ESTIMATE_HPP
#define CAPERJUNCTION_ROUTING_PREFIX_CACHE_ESTIMATE_HPP

#include "model/time.hpp"

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace caperjunction::routing {

/// Estimates which shared prompt parts are in which upstream's KV cache, from
/// the requests that this host has sent recently.
///
/// Thread safety: none; owned by one task.
class prefix_cache_estimate
{
public:
    void record(std::string const& upstream,
                std::uint64_t part,
                model::time_point now)
    {
        if (m_last_use.size() >= max_entries) {
            // Parts in use are recorded again by the next request. Keeping the
            // rest in order of use would cost more than reading a prompt again.
            m_last_use.clear();
        }
        m_last_use[key(upstream, part)] = now;
    }

    bool contains(std::string const& upstream,
                  std::uint64_t part,
                  model::time_point now) const
    {
        auto const found = m_last_use.find(key(upstream, part));
        return found != m_last_use.end() && now - found->second < lifetime;
    }

private:
    /// 16,384 entries take about 1 MB.
    static constexpr std::size_t max_entries = 16'384;
    /// Engines evict the least recently used parts. One minute without use is
    /// long compared with the traffic that fills an engine's cache.
    static constexpr std::chrono::seconds lifetime{60};

    // The part's id is hashed before it is used as a seed. For ids of three
    // letters, seeds that differ by one give colliding hashes, and a part would
    // seem to be cached where it never was.
    static std::uint64_t key(std::string const& upstream, std::uint64_t part)
    {
        std::uint64_t const seed = XXH3_64bits(&part, sizeof part);
        return XXH3_64bits_withSeed(upstream.data(), upstream.size(), seed);
    }

    std::unordered_map<std::uint64_t, model::time_point> m_last_use;
};

} // namespace caperjunction::routing

#endif
