#ifndef CAPERJUNCTION_ROUTING_PREFIX_CACHE_ESTIMATE_HPP
#define CAPERJUNCTION_ROUTING_PREFIX_CACHE_ESTIMATE_HPP

#include "model/time.hpp"

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace caperjunction::routing {

/// Where this host has lately sent which shared part of a prompt.
///
/// Thread safety: none; owned by one task.
class prefix_cache_estimate
{
public:
    void record(std::string const& upstream,
                std::uint64_t part,
                model::time_point now)
    {
        if (m_last_use.size() >= most) {
            // Parts that are in use are recorded again at once; keeping
            // order for the rest would cost more than a read.
            m_last_use.clear();
        }
        m_last_use[key(upstream, part)] = now;
    }

    bool holds(std::string const& upstream,
               std::uint64_t part,
               model::time_point now) const
    {
        auto const found = m_last_use.find(key(upstream, part));
        return found != m_last_use.end() && now - found->second < lifetime;
    }

private:
    /// Bytes of memory bound it: 16,384 entries take about 1 MB.
    static constexpr std::size_t most = 16'384;
    /// Engines drop what was used least recently; a minute without use is
    /// long against the traffic that fills an engine's memory.
    static constexpr std::chrono::seconds lifetime{60};

    // The part's id is no seed by itself: with ids of three letters, seeds
    // that differ by one give hashes that collide, and a part would seem to
    // be kept where it never was.
    static std::uint64_t key(std::string const& upstream, std::uint64_t part)
    {
        std::uint64_t const seed = XXH3_64bits(&part, sizeof part);
        return XXH3_64bits_withSeed(upstream.data(), upstream.size(), seed);
    }

    std::unordered_map<std::uint64_t, model::time_point> m_last_use;
};

} // namespace caperjunction::routing

#endif
