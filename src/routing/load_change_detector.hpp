#ifndef CAPERJUNCTION_ROUTING_LOAD_CHANGE_DETECTOR_HPP
#define CAPERJUNCTION_ROUTING_LOAD_CHANGE_DETECTOR_HPP

#include "model/time.hpp"
#include "routing/peer_digest.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace caperjunction::routing {

/// Whether what this host has sent differs so much from what it last told
/// that hosts far away would place otherwise.
///
/// Made for fleets whose data centres are joined by narrow links that are
/// paid for by volume: told by a clock alone, loads that hardly change took
/// as many bytes there as the requests themselves. A burst still is told at
/// once.
///
/// Thread safety: none; owned by one task.
class load_change_detector
{
public:
    /// Whether `loads` are news against what was last told, some time ago.
    bool has_significant_change(std::vector<peer_load> const& loads,
                                model::time_point now) const
    {
        if (now - m_advertised_at < min_period) {
            return false;
        }
        std::uint64_t tokens = 0;
        std::uint64_t requests = 0;
        std::size_t known = 0;
        for (peer_load const& item : loads) {
            auto const found = m_advertised.find(item.upstream);
            upstream_load const before =
                found == m_advertised.end() ? upstream_load{} : found->second;
            known += found == m_advertised.end() ? 0 : 1;
            tokens += difference(item.load.pending_prefill_tokens,
                                 before.pending_prefill_tokens);
            requests += difference(item.load.running, before.running);
        }
        // Engines that are no longer among them have ended all they had.
        return tokens >= significant_tokens || requests >= significant_requests
               || m_advertised.size() - known >= significant_requests;
    }

    /// `loads` were told to all that wait for news.
    void record_advertised(std::vector<peer_load> const& loads,
                           model::time_point now)
    {
        m_advertised_at = now;
        m_advertised.clear();
        for (peer_load const& item : loads) {
            m_advertised.emplace(item.upstream, item.load);
        }
    }

private:
    static constexpr model::milliseconds min_period{200};
    /// An engine reads them in the time that a digest is on its way, or a
    /// little more.
    static constexpr std::uint64_t significant_tokens = 4'000;
    /// Fewer hardly slow an engine down.
    static constexpr std::uint64_t significant_requests = 4;

    static std::uint64_t difference(std::uint64_t a, std::uint64_t b)
    {
        return a < b ? b - a : a - b;
    }

    std::unordered_map<std::uint32_t, upstream_load> m_advertised;
    model::time_point m_advertised_at{};
};

} // namespace caperjunction::routing

#endif
