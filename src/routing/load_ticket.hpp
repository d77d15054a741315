#ifndef CAPERJUNCTION_ROUTING_LOAD_TICKET_HPP
#define CAPERJUNCTION_ROUTING_LOAD_TICKET_HPP

#include "model/time.hpp"
#include "routing/pick.hpp"
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

    /// Records that the upstream has read the prompt. Later calls do nothing.
    void record_first_event(model::time_point now);

    /// Removes the request from the load. Later calls do nothing.
    void end();

private:
    void swap(load_ticket& other) noexcept;

    upstream_ptr m_upstream;
    std::uint64_t m_pending_prefill_tokens = 0;
    bool m_is_urgent = false;
    performance_meter::ticket m_performance = 0;
};

} // namespace caperjunction::routing

#endif
