#include "routing/load_ticket.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace caperjunction::routing {
namespace {

using float_milliseconds = std::chrono::duration<double, std::milli>;

/// Expected prefill time, as a share of an event gap, from which a first event
/// is a measurement. A shorter one is lost in the variation of gaps.
constexpr double min_share_of_gap = 0.25;
/// A prefill counts with this multiple of its forecast at most. Otherwise one
/// request at an engine that hangs would outweigh all others.
constexpr double max_ratio = 4.0;
/// Pending prompt tokens above which event gaps are left out. Fewer may have
/// been prefilled already: they count until one event gap later.
constexpr std::uint64_t max_pending_tokens = 2'000;

} // namespace

load_ticket::load_ticket(pick const& chosen,
                         pick_request const& request,
                         model::time_point now)
    : m_upstream(chosen.to)
    , m_pending_prefill_tokens(
          request.prompt->own_tokens()
          + std::min(chosen.uncached_tokens, request.prompt->shared_tokens()))
    , m_memory_tokens(request.prompt->memory_tokens())
    , m_is_urgent(request.is_most_urgent)
    , m_rank(request.rank)
    , m_sample(sample_of(chosen, m_pending_prefill_tokens, now))
    , m_performance(
          m_upstream->own_performance.begin(now, chosen.nominal_forecast))
{
    m_upstream->own.add(
        {1, m_pending_prefill_tokens, m_is_urgent ? 1U : 0U, m_memory_tokens});
    m_upstream->own_ranks.record_sent(m_rank, m_pending_prefill_tokens, now);
    m_upstream->is_sent_to_as_reserved =
        m_upstream->reservation_rank < chosen.reserved_engines;
}

load_ticket::capacity_sample load_ticket::sample_of(pick const& chosen,
                                                    std::uint64_t own_tokens,
                                                    model::time_point now)
{
    upstream_state const& to = *chosen.to;
    std::uint32_t const slots = to.description.slots;
    capacity_sample sample;
    sample.sent_at = now;
    // Prompts count as pending until their first event, one gap after their
    // prefill. Without this, busy engines would appear faster than idle ones.
    double const prefilled =
        to.capacity.event_gap_ms * to.capacity.tokens_per_ms;
    double const queued = std::max(
        0.0, static_cast<double>(to.pending_prefill_tokens()) - prefilled);
    sample.prefill_tokens =
        own_tokens + static_cast<std::uint64_t>(std::lround(queued));
    auto const own = static_cast<double>(own_tokens);
    sample.weight = own / std::max(1.0, own + queued);
    sample.other_ms = chosen.transit_ms + to.capacity.event_gap_ms;
    sample.prefill_ms =
        static_cast<double>(sample.prefill_tokens) / to.capacity.tokens_per_ms;
    sample.has_waited =
        (slots > 0 && to.running() >= slots) || chosen.waits_for_memory;
    return sample;
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
    std::swap(m_memory_tokens, other.m_memory_tokens);
    std::swap(m_is_urgent, other.m_is_urgent);
    std::swap(m_rank, other.m_rank);
    std::swap(m_sample, other.m_sample);
    std::swap(m_gaps, other.m_gaps);
    std::swap(m_last_event, other.m_last_event);
    std::swap(m_performance, other.m_performance);
}

void load_ticket::record_first_event(model::time_point now)
{
    if (!m_upstream) {
        return;
    }
    m_upstream->own_performance.end(m_performance, now);
    record_capacity(now);
    m_upstream->own_ranks.record_read(m_rank, m_pending_prefill_tokens);
    m_upstream->own.pending_prefill_tokens -=
        std::exchange(m_pending_prefill_tokens, 0);
}

void load_ticket::record_capacity(model::time_point now)
{
    bool const is_repeated = std::exchange(m_sample.has_begun, true);
    double const gap_ms = m_upstream->capacity.event_gap_ms;
    if (is_repeated || m_sample.has_waited
        || m_sample.prefill_ms < gap_ms * min_share_of_gap) {
        return;
    }
    double const elapsed =
        float_milliseconds(now - m_sample.sent_at).count() - m_sample.other_ms;
    float_milliseconds const counted(
        m_sample.weight * std::min(elapsed, m_sample.prefill_ms * max_ratio));
    m_upstream->own_capacity.record_first_event(
        static_cast<std::uint64_t>(std::lround(
            static_cast<double>(m_sample.prefill_tokens) * m_sample.weight)),
        std::chrono::duration_cast<capacity_meter::duration>(counted),
        now);
}

void load_ticket::record_event_gap(stream_gaps::duration gap,
                                   std::uint64_t events,
                                   model::time_point now)
{
    if (!m_upstream) {
        return;
    }
    // Gaps alongside known prompts are left out: an engine that prefills
    // without a break has gaps that are all alike and too long.
    if (m_upstream->pending_prefill_tokens() <= max_pending_tokens) {
        m_gaps.record(
            gap,
            events,
            step_factor(m_upstream->running(), m_upstream->description.slots));
    } else {
        m_gaps.skip();
    }
    m_last_event = now;
    if (m_gaps.is_full()) {
        record_gaps();
    }
}

void load_ticket::record_gaps()
{
    if (auto const measured = m_gaps.take()) {
        m_upstream->own_capacity.record_lower_bound(*measured, m_last_event);
    }
}

void load_ticket::record_withdrawn(model::time_point now)
{
    if (m_upstream) {
        m_upstream->own_performance.end(m_performance, now);
    }
}

void load_ticket::end(model::time_point now)
{
    if (m_upstream && m_sample.has_begun && !m_sample.has_waited) {
        m_upstream->own_capacity.record_slot_time(now - m_sample.sent_at, now);
    }
    end();
}

void load_ticket::end()
{
    if (m_upstream) {
        record_gaps();
    }
    auto const upstream = std::exchange(m_upstream, nullptr);
    if (!upstream) {
        return;
    }
    upstream->own_performance.drop(m_performance);
    upstream->own.running -= 1;
    upstream->own.urgent -= m_is_urgent ? 1 : 0;
    upstream->own.memory_tokens -= m_memory_tokens;
    upstream->own_ranks.record_read(m_rank, m_pending_prefill_tokens);
    upstream->own.pending_prefill_tokens -=
        std::exchange(m_pending_prefill_tokens, 0);
}

} // namespace caperjunction::routing
