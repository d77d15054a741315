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

/// The whole answer to a non-repeatable call.
struct claim_answer
{
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
};

/// Keeps the answers of calls that ran on this host, for callers that lost
/// theirs and send again. Oldest go first when room or time is over; a resend
/// is then answered `unknown`, which costs the caller a look-up by hand but
/// never a second run.
///
/// Thread safety: none; owned by one task.
class claim_answers
{
public:
    /// \pre max_bytes bounds bodies and their overhead together.
    claim_answers(std::size_t max_bytes, model::milliseconds retention);

    /// Keeps `answer` unless it is larger than all room there is.
    void put(claim_key key,
             claim_attempt const& attempt,
             claim_answer answer,
             model::time_point now);

    /// Null if it isn't there, or another attempt gave it. Lives until the
    /// next call that isn't const.
    claim_answer const* find(claim_key key, claim_attempt const& attempt) const;

    /// Forgets what is older than the horizon.
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

    void drop_oldest();

    std::size_t m_max_bytes;
    model::milliseconds m_retention;
    std::size_t m_bytes = 0;
    std::map<claim_key, stored> m_answers;
    std::deque<std::pair<model::time_point, claim_key>> m_order;
};

} // namespace caperjunction::fleet

#endif
