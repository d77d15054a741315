#include "bench/policy_bench/event_queue.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::bench {

bool event_queue::later(entry const& left, entry const& right)
{
    if (left.when != right.when) {
        return left.when > right.when;
    }
    return left.order > right.order;
}

void event_queue::at(model::time_point when, action run)
{
    m_entries.push_back({when, m_order++, std::move(run)});
    std::push_heap(m_entries.begin(), m_entries.end(), later);
}

void event_queue::after(std::chrono::nanoseconds delay, action run)
{
    at(m_now + delay, std::move(run));
}

void event_queue::run_until(model::time_point end)
{
    while (!m_entries.empty() && m_entries.front().when <= end) {
        std::pop_heap(m_entries.begin(), m_entries.end(), later);
        entry next = std::move(m_entries.back());
        m_entries.pop_back();
        m_now = next.when;
        next.run();
    }
    m_now = end;
}

} // namespace caperjunction::bench
