#ifndef CAPERJUNCTION_NET_CALLER_REPLY_HPP
#define CAPERJUNCTION_NET_CALLER_REPLY_HPP

#include "model/error.hpp"
#include "model/outcome.hpp"
#include "model/request_id.hpp"
#include "model/time.hpp"

#include <string>
#include <string_view>

struct evhttp_request;

namespace caperjunction::net {

/// What every answer to a caller tells about its request.
struct reply_facts
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
std::string error_body(error_reply const& error, reply_facts const& facts);

/// Answers with a whole body. \pre Nothing of the answer has been sent.
void send_whole(evhttp_request* caller,
                int status,
                std::string_view content_type,
                std::string_view body,
                reply_facts const& facts);

/// Answers with an error. \pre Nothing of the answer has been sent.
void send_error(evhttp_request* caller,
                error_reply const& error,
                reply_facts const& facts);

/// Begins an answer of events. \pre Nothing of the answer has been sent.
void begin_events(evhttp_request* caller, model::request_id id);

/// Sends events. \pre `begin_events` was called.
void send_events(evhttp_request* caller, std::string_view events);

/// The last events of an answer: its outcome as a comment, which clients
/// skip, and for a whole answer the closing `[DONE]`.
std::string closing_events(model::outcome outcome);

/// Ends an answer of events.
void end_events(evhttp_request* caller);

} // namespace caperjunction::net

#endif
