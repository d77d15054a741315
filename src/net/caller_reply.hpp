#ifndef CAPERJUNCTION_NET_CALLER_REPLY_HPP
#define CAPERJUNCTION_NET_CALLER_REPLY_HPP

#include "model/error.hpp"
#include "model/outcome.hpp"
#include "model/request_id.hpp"
#include "model/time.hpp"

#include <string>

namespace caperjunction::net {

/// Request metadata that every answer to a caller carries.
struct reply_metadata
{
    model::request_id id;
    model::outcome outcome = model::outcome::not_run;
};

/// Error reply to a caller.
struct error_reply
{
    model::error_kind kind = model::error_kind::unavailable;
    std::string message;
    std::string remedy;
    /// Sent as `Retry-After` if above zero.
    model::milliseconds retry_after{0};
};

/// Returns the HTTP status of an error kind.
int status_of(model::error_kind kind);

/// Returns the id as written in headers and logs.
std::string to_string(model::request_id id);

/// Returns the JSON body of an error in the format of the OpenAI API.
std::string error_body(error_reply const& error,
                       reply_metadata const& metadata);

/// Returns the final events of an answer: the outcome as an SSE comment, which
/// clients ignore, and the closing `[DONE]` if the answer is complete.
std::string closing_events(model::outcome outcome);

/// Formats the time in seconds, rounded up: rounded down, a caller that obeys
/// `Retry-After` returns too early and is refused again.
std::string round_up_to_seconds(model::milliseconds time);

} // namespace caperjunction::net

#endif
