#ifndef CAPERJUNCTION_PROXY_UNANSWERED_ATTEMPTS_HPP
#define CAPERJUNCTION_PROXY_UNANSWERED_ATTEMPTS_HPP

#include "proxy/broken_attempt.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace caperjunction::proxy {

/// Attempts that this host gave up, or whose caller left, before their upstream
/// had begun to answer.
///
/// An upstream may crash without a word: nothing breaks, and its requests end
/// at their deadlines or are repeated elsewhere. Whether it was slow or had
/// crashed shows later, when its entry is gone or tells of a new start.
///
/// Bounded in number and age. Thread safety: none; owned by the loop's task.
class unanswered_attempts
{
public:
    /// Above the time after which the entry of an upstream that is gone lapses.
    static constexpr model::milliseconds retention{8'000};

    /// Records an attempt that ended at `now`; the oldest goes if there are too
    /// many.
    void record(broken_attempt attempt, model::time_point now);

    /// Removes and returns the attempts at one start of an upstream, as
    /// `routing::start_key`, that ended from `since` on.
    std::vector<broken_attempt> take(std::uint64_t start,
                                     model::time_point since);

    /// Removes those for which `is_over` returns true, and old ones.
    template <typename Predicate>
    void expire(model::time_point now, Predicate is_over)
    {
        std::erase_if(m_items, [&](item const& known) {
            return now - known.ended_at > retention
                   || is_over(known.attempt, known.ended_at);
        });
    }

    /// Calls `visit` for each.
    template <typename Visitor>
    void each(Visitor visit) const
    {
        for (item const& known : m_items) {
            visit(known.attempt);
        }
    }

private:
    struct item
    {
        broken_attempt attempt;
        std::uint64_t start = 0;
        model::time_point ended_at{};
    };

    static constexpr std::size_t max_items = 512;

    /// By the time of their ends.
    std::deque<item> m_items;
};

} // namespace caperjunction::proxy

#endif
