#ifndef CAPERJUNCTION_ROUTING_LOAD_CHANGE_DETECTOR_HPP
#define CAPERJUNCTION_ROUTING_LOAD_CHANGE_DETECTOR_HPP

#include "model/time.hpp"
#include "routing/peer_digest.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace caperjunction::routing {

/// Detects changes of this host's load that affect placement on hosts in other
/// data centres.
///
/// Links between data centres may be narrow and billed by volume, so nearly
/// unchanged loads are sent rarely. A burst is advertised at once.
///
/// Thread safety: none; owned by one task.
class load_change_detector
{
public:
    /// Returns whether `loads` differ enough from the advertised loads and the
    /// minimum period has passed.
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
            upstream_load const advertised =
                found == m_advertised.end() ? upstream_load{} : found->second;
            known += found == m_advertised.end() ? 0 : 1;
            tokens += difference(item.load.pending_prefill_tokens,
                                 advertised.pending_prefill_tokens);
            requests += difference(item.load.running, advertised.running);
        }
        // Upstreams missing from `loads` have no requests left.
        return tokens >= significant_tokens || requests >= significant_requests
               || m_advertised.size() - known >= significant_requests;
    }

    /// Records that `loads` were sent to all hosts that wait for a change.
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
    /// An engine reads this many tokens in about the transit time of a digest,
    /// or slightly more.
    static constexpr std::uint64_t significant_tokens = 4'000;
    /// Fewer requests hardly slow an engine down.
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
