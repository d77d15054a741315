#ifndef CAPERJUNCTION_DECIDE_DECISION_HPP
#define CAPERJUNCTION_DECIDE_DECISION_HPP

#include "model/error.hpp"
#include "model/outcome.hpp"
#include "model/request_id.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace caperjunction::decide {

/// An upstream considered for a request, for the log and `explain`.
struct candidate
{
    std::string upstream;
    /// Predicted time to the first token, or to the first byte of a service.
    model::milliseconds predicted{0};
};

/// Sends the request to this upstream now.
struct dispatch
{
    model::request_id id;
    std::string upstream;
    /// Passed on to the engine; lower numbers are scheduled first.
    std::uint32_t priority = 0;
    /// Output tokens that the caller already has; the engine resumes after
    /// them.
    std::uint32_t resume_offset = 0;
    /// 1 for the first attempt.
    std::uint32_t attempt = 1;
    std::vector<candidate> candidates;
    std::string reason;
};

/// Holds the request on this host until capacity is free.
struct queued
{
    model::request_id id;
    std::uint32_t position = 0;
    std::string reason;
};

/// Tells the caller that the request is not served now.
struct refuse
{
    model::request_id id;
    model::error_kind kind = model::error_kind::refused;
    /// `not_run` unless an attempt was handed to an upstream.
    model::outcome outcome = model::outcome::not_run;
    /// Delay after which a resend is likely to be accepted.
    model::milliseconds retry_after{0};
    std::string reason;
    std::string remedy;
};

/// Ends the attempt at this upstream; its answer is no longer needed.
struct cancel_attempt
{
    model::request_id id;
    std::string upstream;
    std::string reason;
};

/// Passes the request to another host, at most one hop.
struct hand_over
{
    model::request_id id;
    std::string host;
    std::string reason;
};

/// Sends no new requests to this engine until `until`.
struct eject_engine
{
    std::string engine;
    model::time_point until{};
    std::string reason;
};

struct readmit_engine
{
    std::string engine;
    std::string reason;
};

/// Refuses all requests with this fingerprint until `until`, on all hosts.
struct quarantine_request
{
    std::uint64_t fingerprint = 0;
    model::time_point until{};
    std::string reason;
};

/// Requests that an engine load this model. The one host of the fleet that
/// orders for the engine turns the request into a fenced order.
struct shift_model
{
    std::string engine;
    std::string model;
    std::string reason;
};

/// All outputs of the decision logic.
using decision = std::variant<dispatch,
                              queued,
                              refuse,
                              cancel_attempt,
                              hand_over,
                              eject_engine,
                              readmit_engine,
                              quarantine_request,
                              shift_model>;

} // namespace caperjunction::decide

#endif
