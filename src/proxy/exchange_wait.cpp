#include "proxy/exchange.hpp"

#include "routing/host_wait_rule.hpp"

#include <algorithm>
#include <chrono>

namespace caperjunction::proxy {
namespace {

model::milliseconds between(model::time_point from, model::time_point to)
{
    return std::chrono::duration_cast<model::milliseconds>(to - from);
}

} // namespace

// A request that was sent before has used up its time at an upstream.
bool exchange::may_use_host_queue() const
{
    return m_context.settings.host_queue && !m_context.is_stopping
           && m_metadata.prompt.tokens > 0 && m_state.sent == 0
           && m_state.unreached == 0;
}

model::milliseconds exchange::elapsed_for_overload() const
{
    return may_use_host_queue() ? between(m_arrived, m_context.loop.now())
                                : model::milliseconds{0};
}

// The final answer must reach the caller by the deadline.
model::time_point exchange::host_wait_end() const
{
    if (m_host_wait) {
        return m_host_wait->until;
    }
    // A request may have waited before it waited for a verdict on its parts.
    auto const waited = std::max(m_report.host_wait, model::milliseconds{0});
    auto const longest = routing::max_host_wait(m_route->latency_target);
    return std::min(m_context.loop.now() + longest - waited,
                    m_deadline - return_margin);
}

bool exchange::handle_host_wait()
{
    if (!may_use_host_queue()) {
        leave_host_queue();
        return false;
    }
    bool const is_excess =
        m_report.share.result == routing::share_result::excess;
    bool const is_behind =
        !m_host_wait
        && m_context.host_queue.queue().has_ahead(m_service, m_rank, is_excess);
    auto const decision = routing::decide_host_wait(
        overload_inputs(),
        between(m_context.loop.now(), host_wait_end()),
        is_behind);
    if (decision != routing::host_wait_decision::wait) {
        leave_host_queue();
        return false;
    }
    if (!m_host_wait && !enter_host_queue(is_excess)) {
        refuse_waiting();
    }
    return true;
}

bool exchange::enter_host_queue(bool is_excess)
{
    routing::waiting_request added;
    added.service = m_service;
    added.rank = m_rank;
    added.is_excess = is_excess;
    added.since = m_context.loop.now();
    added.until = host_wait_end();
    added.body_bytes = m_body.size();
    auto const weak = weak_from_this();
    auto const number =
        m_context.host_queue.try_add(added,
                                     {[weak](bool is_blocked) {
                                          if (auto const self = weak.lock()) {
                                              self->attempt_waiting(is_blocked);
                                          }
                                      },
                                      [weak] {
                                          if (auto const self = weak.lock()) {
                                              self->refuse_waiting();
                                          }
                                      }});
    if (number) {
        added.number = *number;
        m_host_wait = added;
    }
    return number.has_value();
}

// Unlike a request that an upstream has, one that waits doesn't keep a route
// that was removed.
void exchange::attempt_waiting(bool is_blocked)
{
    bool const is_admitted =
        is_still_admitted()
        && m_context.table->match(m_metadata.authority, m_metadata.path);
    bool const is_over = m_context.loop.now() >= m_host_wait->until;
    if (!is_admitted || (is_blocked && is_over)) {
        refuse_waiting();
        return;
    }
    if (!is_blocked) {
        place();
    }
}

void exchange::refuse_waiting()
{
    refuse_overload(overload_retry_after().value_or(
        routing::overload_limits{}.min_retry_after));
}

void exchange::leave_host_queue()
{
    if (!m_host_wait) {
        return;
    }
    m_context.host_queue.remove(m_host_wait->number);
    m_report.host_wait = std::max(m_report.host_wait, model::milliseconds{0})
                         + between(m_host_wait->since, m_context.loop.now());
    m_host_wait.reset();
}

} // namespace caperjunction::proxy
