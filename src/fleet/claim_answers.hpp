#ifndef CAPERJUNCTION_FLEET_CLAIM_ANSWERS_HPP
#define CAPERJUNCTION_FLEET_CLAIM_ANSWERS_HPP

#include "fleet/claim_message.hpp"
#include "model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace caperjunction::fleet {

/// The complete answer to a non-repeatable call.
struct claim_answer
{
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
};

/// Bounded cache of answers to calls that ran on this host, for callers that
/// lost the answer and resend the call.
///
/// The oldest answers are evicted by size and by age. A resend is then
/// answered `unknown`: the caller has to look the result up by hand, but the
/// call never runs twice.
///
/// Thread safety: none; owned by one task.
class claim_answers
{
public:
    /// \pre max_bytes bounds bodies and per-entry overhead together.
    claim_answers(std::size_t max_bytes, model::milliseconds retention);

    /// Stores `answer` unless it alone exceeds `max_bytes`.
    void put(claim_key key,
             claim_attempt const& attempt,
             claim_answer answer,
             model::time_point now);

    /// Returns null if there is no answer or it belongs to another attempt.
    /// The pointer is valid until the next non-const call.
    claim_answer const* find(claim_key key, claim_attempt const& attempt) const;

    /// Drops answers older than the retention time.
    void expire(model::time_point now);

    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    struct stored
    {
        claim_attempt attempt;
        claim_answer answer;
    };

    void evict_oldest();

    std::size_t m_max_bytes;
    model::milliseconds m_retention;
    std::size_t m_bytes = 0;
    std::map<claim_key, stored> m_answers;
    std::deque<std::pair<model::time_point, claim_key>> m_order;
};

} // namespace caperjunction::fleet

#endif
