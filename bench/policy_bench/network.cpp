#include "bench/policy_bench/network.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::bench {

network::network(delays settings, event_queue& queue)
    : m_delays(settings)
    , m_queue(queue)
{
}

bool network::send(place const& from,
                   place const& to,
                   std::uint64_t bytes,
                   event_queue::action on_arrival)
{
    if (!reachable(from, to)) {
        return false;
    }
    if (from.region == to.region) {
        m_queue.after(from.data_centre == to.data_centre
                          ? m_delays.same_data_centre
                          : m_delays.same_region,
                      std::move(on_arrival));
        return true;
    }
    m_bytes += bytes;
    std::chrono::duration<double> const length(static_cast<double>(bytes)
                                               / m_delays.link_rate);
    model::time_point& link_free_at = m_link_free_at[from.region];
    link_free_at =
        std::max(link_free_at, m_queue.now())
        + std::chrono::duration_cast<std::chrono::nanoseconds>(length);
    m_queue.at(link_free_at + m_delays.other_region, std::move(on_arrival));
    return true;
}

bool network::reachable(place const& from, place const& to) const
{
    return !m_cut || from.region == to.region;
}

void network::cut(bool is_cut)
{
    m_cut = is_cut;
}

} // namespace caperjunction::bench
