#ifndef CAPERJUNCTION_NET_CALLER_REPLY_HPP
#define CAPERJUNCTION_NET_CALLER_REPLY_HPP

#include "model/error.hpp"
#include "model/outcome.hpp"
#include "model/request_id.hpp"
#include "model/time.hpp"

#include <string>

namespace caperjunction::net {

/// What every answer to a caller tells about its request.
struct reply_metadata
{
    model::request_id id;
    model::outcome outcome = model::outcome::not_run;
};

/// An error as a caller sees it.
struct error_reply
{
    model::error_kind kind = model::error_kind::unavailable;
    std::string message;
    std::string remedy;
    /// Sent as `Retry-After` if above zero.
    model::milliseconds retry_after{0};
};

/// The HTTP status of a kind of error.
int status_of(model::error_kind kind);

/// The id as it stands in headers and logs.
std::string to_string(model::request_id id);

/// The JSON body of an error, in the shape that OpenAI clients read.
std::string error_body(error_reply const& error,
                       reply_metadata const& metadata);

/// The last events of an answer: its outcome as a comment, which clients
/// skip, and for a whole answer the closing `[DONE]`.
std::string closing_events(model::outcome outcome);

/// Rounded up: a caller that comes a moment early is refused again.
std::string round_up_to_seconds(model::milliseconds time);

} // namespace caperjunction::net

#endif
