#ifndef CAPERJUNCTION_NET_RELAY_REPORT_HPP
#define CAPERJUNCTION_NET_RELAY_REPORT_HPP

#include "decide/event.hpp"
#include "fleet/hand_over_message.hpp"
#include "model/outcome.hpp"
#include "model/request_id.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace caperjunction::net {

/// A call that may run only once arrived and waits for its claim.
struct booking_arrived
{
    decide::request request;
    std::string idempotency_key;
};

/// Complete answer to a call that may run only once, stored for resends.
struct booking_answered
{
    model::request_id id;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
};

/// Result of an exchange, for the log and the metrics.
struct exchange_ended
{
    model::request_id id;
    std::string customer;
    std::string service_class;
    model::outcome outcome = model::outcome::unknown;
    /// Kind of error that the caller received; empty if none.
    std::string error;
    std::uint32_t tokens = 0;
    /// Time from arrival to the first byte; zero if no byte was sent.
    model::milliseconds first_byte{0};
    model::milliseconds total_time{0};
};

/// Requests that `host` serves the request instead of this host.
struct hand_over_requested
{
    std::string host;
    fleet::hand_over_request request;
};

/// The caller of a handed-over request disconnected.
struct hand_over_cancelled
{
    std::string host;
    model::request_id id;
};

/// Part of the answer to a request that another host handed over.
struct hand_over_chunk_ready
{
    std::string host;
    fleet::hand_over_chunk chunk;
};

/// End of the answer to a request that another host handed over.
struct hand_over_ended
{
    std::string host;
    fleet::hand_over_end end;
};

/// The relay has stopped accepting and has sent its last answer.
struct relay_idle
{
};

/// Report from the relay to the task that decides.
using relay_report = std::variant<decide::event,
                                  booking_arrived,
                                  booking_answered,
                                  exchange_ended,
                                  hand_over_requested,
                                  hand_over_cancelled,
                                  hand_over_chunk_ready,
                                  hand_over_ended,
                                  relay_idle>;

} // namespace caperjunction::net

#endif
