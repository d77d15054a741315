#ifndef CAPERJUNCTION_BENCH_NETWORK_HPP
#define CAPERJUNCTION_BENCH_NETWORK_HPP

#include "bench/policy_bench/event_queue.hpp"
#include "bench/policy_bench/place.hpp"

#include <array>
#include <chrono>
#include <cstdint>

namespace caperjunction::bench {

/// A delay between any two places, and one link between the two regions
/// whose rate in each direction all traffic shares. Nothing more.
///
/// Thread safety: none.
class network
{
public:
    struct delays
    {
        std::chrono::nanoseconds same_data_centre{200'000};
        std::chrono::nanoseconds same_region{1'000'000};
        std::chrono::nanoseconds other_region{12'000'000};
        /// Bytes a second in each direction between the regions.
        double link_rate = 1.25e6;
    };

    network(delays settings, event_queue& queue);

    /// Calls `arrive` when the message is there; false, and no call, while
    /// the link that it needs is cut.
    bool send(place const& from,
              place const& to,
              std::uint64_t bytes,
              event_queue::action arrive);

    /// Whether a message could be sent now.
    bool reachable(place const& from, place const& to) const;

    void cut(bool is_cut);

    std::uint64_t cross_region_bytes() const
    {
        return m_bytes;
    }

private:
    delays m_delays;
    event_queue& m_queue;
    std::array<model::time_point, 2> m_free{};
    std::uint64_t m_bytes = 0;
    bool m_cut = false;
};

} // namespace caperjunction::bench

#endif
