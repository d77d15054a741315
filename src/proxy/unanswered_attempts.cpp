#include "proxy/unanswered_attempts.hpp"

#include "routing/peer_digest.hpp"

#include <utility>

namespace caperjunction::proxy {

void unanswered_attempts::record(broken_attempt attempt, model::time_point now)
{
    if (m_items.size() >= max_items) {
        m_items.pop_front();
    }
    std::uint64_t const start =
        routing::start_key(attempt.upstream->description);
    m_items.push_back({std::move(attempt), start, now});
}

std::vector<broken_attempt> unanswered_attempts::take(std::uint64_t start,
                                                      model::time_point since)
{
    std::vector<broken_attempt> taken;
    std::erase_if(m_items, [&](item& known) {
        if (known.start != start || known.ended_at < since) {
            return false;
        }
        taken.push_back(std::move(known.attempt));
        return true;
    });
    return taken;
}

} // namespace caperjunction::proxy
