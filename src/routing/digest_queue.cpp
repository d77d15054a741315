#include "routing/digest_queue.hpp"

#include <algorithm>

namespace caperjunction::routing {

void digest_queue::add(std::vector<peer_table::recipient> const& due)
{
    for (peer_table::recipient const& item : due) {
        auto const known = std::find_if(
            m_waiting.begin(), m_waiting.end(), [&item](auto const& waiting) {
                return waiting.at == item.at;
            });
        if (known == m_waiting.end()) {
            m_waiting.push_back(item);
            continue;
        }
        known->kind = item.kind;
        known->requests_reply = known->requests_reply || item.requests_reply;
        known->max_neighbours =
            std::max(known->max_neighbours, item.max_neighbours);
    }
}

void digest_queue::send_batch(
    std::function<std::size_t(peer_table::recipient const&)> const& send)
{
    std::size_t bytes = 0;
    auto next = m_waiting.begin();
    while (next != m_waiting.end() && bytes < max_batch_bytes) {
        bytes += send(*next);
        ++next;
    }
    m_waiting.erase(m_waiting.begin(), next);
}

} // namespace caperjunction::routing
