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

/// A call that may run only once; it waits for its claim.
struct booking_arrived
{
    decide::request request;
    std::string idempotency_key;
};

/// The whole answer to a call that may run only once, for resends.
struct booking_answered
{
    model::request_id id;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
};

/// How one exchange ended, for the log and the metrics.
struct exchange_ended
{
    model::request_id id;
    std::string customer;
    std::string service_class;
    model::outcome outcome = model::outcome::unknown;
    /// Empty, or the kind of error that the caller was told.
    std::string error;
    std::uint32_t tokens = 0;
    /// From arrival; zero if no byte was sent.
    model::milliseconds first_byte{0};
    model::milliseconds total_time{0};
};

/// Ask this host to serve the request instead.
struct hand_over_requested
{
    std::string host;
    fleet::hand_over_request request;
};

/// The caller of a handed-over request hung up.
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

/// The end of such an answer.
struct hand_over_ended
{
    std::string host;
    fleet::hand_over_end end;
};

/// The relay has stopped accepting and its last answer is out.
struct relay_idle
{
};

/// What the relay tells the task that decides.
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
