#ifndef CAPERJUNCTION_ROUTING_DIGEST_QUEUE_HPP
#define CAPERJUNCTION_ROUTING_DIGEST_QUEUE_HPP

#include "routing/peer_table.hpp"

#include <cstddef>
#include <functional>
#include <vector>

namespace caperjunction::routing {

/// Hosts that a digest is due for, in the order in which they became due.
///
/// The aggregator of a large data centre sends some kilobytes to each of its
/// neighbours. Sent at once, they exceed what its link can queue, and the
/// recipients at the end of the list never get the loads of other data centres.
/// The queue therefore releases a bounded number of bytes at a time.
///
/// Thread safety: none; owned by one task.
class digest_queue
{
public:
    /// Bytes to send at once; the next batch follows after `batch_interval`.
    static constexpr std::size_t max_batch_bytes = 12'288;
    static constexpr model::milliseconds batch_interval{10};

    /// Adds recipients. A host that is already in the queue keeps its place.
    void add(std::vector<peer_table::recipient> const& due);

    /// Sends to the first recipients until the batch is full. `send` returns
    /// the bytes that it has sent.
    void send_batch(
        std::function<std::size_t(peer_table::recipient const&)> const& send);

    bool is_empty() const
    {
        return m_waiting.empty();
    }

private:
    std::vector<peer_table::recipient> m_waiting;
};

} // namespace caperjunction::routing

#endif
