#ifndef CAPERJUNCTION_ROUTING_LOAD_TICKET_HPP
#define CAPERJUNCTION_ROUTING_LOAD_TICKET_HPP

#include "model/time.hpp"
#include "routing/pick.hpp"
#include "routing/stream_gaps.hpp"
#include "routing/upstream_state.hpp"

#include <cstdint>

namespace caperjunction::routing {

/// Counts one request in the load that this host reports of an upstream, from
/// the send until `end` or its destruction. A default-constructed ticket counts
/// nothing.
///
/// Thread safety: none; owned by one task.
class load_ticket
{
public:
    load_ticket() = default;

    /// `chosen.to` isn't null.
    load_ticket(pick const& chosen,
                pick_request const& request,
                model::time_point now);
    ~load_ticket();
    load_ticket(load_ticket const&) = delete;
    load_ticket& operator=(load_ticket const&) = delete;
    load_ticket(load_ticket&& other) noexcept;
    load_ticket& operator=(load_ticket&& other) noexcept;

    /// Returns the prompt tokens that the upstream is still expected to read.
    std::uint64_t pending_prefill_tokens() const
    {
        return m_pending_prefill_tokens;
    }

    /// Records that the upstream has read the prompt. Later calls do nothing.
    void record_first_event(model::time_point now);

    /// Records that `events` of the stream were received `gap` after the
    /// previous ones. They are measured when the request ends, or when enough
    /// gaps are known.
    void record_event_gap(stream_gaps::duration gap,
                          std::uint64_t events,
                          model::time_point now);
    /// Records that the request is withdrawn before its first event. The time
    /// that it has waited counts as a measurement, so that the engine doesn't
    /// appear fast once its overdue requests are gone. Call `end` afterwards.
    void record_withdrawn(model::time_point now);

    /// Removes the request from the load. Later calls do nothing.
    void end();

    /// The same, and records how long the request has occupied its slot.
    void end(model::time_point now);

private:
    /// What the time to the first event shows about the engine.
    struct capacity_sample
    {
        model::time_point sent_at{};
        /// To be prefilled at the send, including those of this request.
        std::uint64_t prefill_tokens = 0;
        /// Share of these that are its own. The others are known only roughly.
        double weight = 1.0;
        /// Network transit and one event gap.
        double other_ms = 0.0;
        /// Forecast of the prefill.
        double prefill_ms = 0.0;
        /// The request waited for a slot or for memory.
        bool has_waited = false;
        bool has_begun = false;
    };

    static capacity_sample sample_of(pick const& chosen,
                                     std::uint64_t own_tokens,
                                     model::time_point now);
    void record_capacity(model::time_point now);
    void record_gaps();
    void swap(load_ticket& other) noexcept;

    upstream_ptr m_upstream;
    std::uint64_t m_pending_prefill_tokens = 0;
    std::uint64_t m_memory_tokens = 0;
    bool m_is_urgent = false;
    std::uint32_t m_rank = 0;
    capacity_sample m_sample;
    stream_gaps m_gaps;
    model::time_point m_last_event{};
    performance_meter::ticket m_performance = 0;
};

} // namespace caperjunction::routing

#endif
