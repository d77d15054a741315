#ifndef CAPERJUNCTION_NET_CALLER_SINK_HPP
#define CAPERJUNCTION_NET_CALLER_SINK_HPP

#include "model/request_id.hpp"
#include "model/time.hpp"
#include "net/caller_reply.hpp"

#include <cstddef>
#include <functional>
#include <string_view>

namespace caperjunction::net {

/// Answer that is sent in one piece.
struct complete_answer
{
    int status = 200;
    std::string_view content_type;
    std::string_view body;
    reply_metadata metadata;
    /// Sent as `Retry-After` if above zero.
    model::milliseconds retry_after{0};
};

/// Destination of an answer: a caller's connection, or the host that handed
/// the request over. The call sequence is either one `complete`, or `begin`,
/// any number of `events`, and `end`.
///
/// Thread safety: none; called by the task that owns the exchange.
struct caller_sink
{
    std::function<void(complete_answer const&)> complete;
    std::function<void(model::request_id)> begin;
    std::function<void(std::string_view)> events;
    std::function<void(model::outcome)> end;
    /// Returns the bytes buffered for a slow receiver.
    std::function<std::size_t()> unsent_bytes;
};

/// Sends an error as JSON. \pre No part of the answer has been sent.
void send_error(caller_sink const& sink,
                error_reply const& error,
                reply_metadata const& metadata);

} // namespace caperjunction::net

#endif
