#include "routing/load_ticket.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::routing {

load_ticket::load_ticket(pick const& chosen,
                         pick_request const& request,
                         model::time_point now)
    : m_upstream(chosen.to)
    , m_pending_prefill_tokens(
          request.prompt->own_tokens()
          + std::min(chosen.uncached_tokens, request.prompt->shared_tokens()))
    , m_is_urgent(request.is_most_urgent)
    , m_performance(
          m_upstream->own_performance.begin(now, chosen.nominal_forecast))
{
    m_upstream->own.add({1, m_pending_prefill_tokens, m_is_urgent ? 1U : 0U});
}

load_ticket::~load_ticket()
{
    end();
}

load_ticket::load_ticket(load_ticket&& other) noexcept
{
    swap(other);
}

load_ticket& load_ticket::operator=(load_ticket&& other) noexcept
{
    load_ticket taken(std::move(other));
    swap(taken);
    return *this;
}

void load_ticket::swap(load_ticket& other) noexcept
{
    std::swap(m_upstream, other.m_upstream);
    std::swap(m_pending_prefill_tokens, other.m_pending_prefill_tokens);
    std::swap(m_is_urgent, other.m_is_urgent);
    std::swap(m_performance, other.m_performance);
}

void load_ticket::record_first_event(model::time_point now)
{
    if (!m_upstream) {
        return;
    }
    m_upstream->own_performance.end(m_performance, now);
    m_upstream->own.pending_prefill_tokens -=
        std::exchange(m_pending_prefill_tokens, 0);
}

void load_ticket::end()
{
    auto const upstream = std::exchange(m_upstream, nullptr);
    if (!upstream) {
        return;
    }
    upstream->own_performance.drop(m_performance);
    upstream->own.running -= 1;
    upstream->own.urgent -= m_is_urgent ? 1 : 0;
    upstream->own.pending_prefill_tokens -=
        std::exchange(m_pending_prefill_tokens, 0);
}

} // namespace caperjunction::routing
