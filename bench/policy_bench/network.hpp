#ifndef CAPERJUNCTION_BENCH_NETWORK_HPP
#define CAPERJUNCTION_BENCH_NETWORK_HPP

#include "bench/policy_bench/event_queue.hpp"
#include "bench/policy_bench/place.hpp"

#include <array>
#include <chrono>
#include <cstdint>

namespace caperjunction::bench {

/// Models a delay between any two places, and one link between the two regions
/// with a shared rate in each direction. Models no other effect.
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
        /// Bytes per second in each direction between the regions.
        double link_rate = 1.25e6;
    };

    network(delays settings, event_queue& queue);

    /// Calls `on_arrival` when the message arrives. Returns false without a
    /// call if the required link is cut.
    bool send(place const& from,
              place const& to,
              std::uint64_t bytes,
              event_queue::action on_arrival);

    /// Returns whether a message can be sent now.
    bool reachable(place const& from, place const& to) const;

    void cut(bool is_cut);

    std::uint64_t cross_region_bytes() const
    {
        return m_bytes;
    }

private:
    delays m_delays;
    event_queue& m_queue;
    std::array<model::time_point, 2> m_link_free_at{};
    std::uint64_t m_bytes = 0;
    bool m_cut = false;
};

} // namespace caperjunction::bench

#endif
