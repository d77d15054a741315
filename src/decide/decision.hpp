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

/// One upstream that was weighed, for the log and `explain`.
struct candidate
{
    std::string upstream;
    /// Predicted time to the first token (or first byte of a service).
    model::milliseconds predicted{0};
};

/// Send the request to this upstream now.
struct dispatch
{
    model::request_id id;
    std::string upstream;
    /// Passed on to the engine; a lower number goes first.
    std::uint32_t priority = 0;
    /// Output tokens that the caller has already; the engine goes on after.
    std::uint32_t resume_offset = 0;
    /// 1 for the first attempt.
    std::uint32_t attempt = 1;
    std::vector<candidate> candidates;
    std::string reason;
};

/// Hold the request here until capacity is free.
struct queued
{
    model::request_id id;
    std::uint32_t position = 0;
    std::string reason;
};

/// Answer the caller that the request won't be served now.
struct refuse
{
    model::request_id id;
    model::error_kind kind = model::error_kind::refused;
    /// `not_run` unless an attempt had been handed to an upstream.
    model::outcome outcome = model::outcome::not_run;
    /// When a resend has a fair chance, by what is known now.
    model::milliseconds retry_after{0};
    std::string reason;
    std::string remedy;
};

/// End the attempt at this upstream; its answer is of no use any more.
struct cancel_attempt
{
    model::request_id id;
    std::string upstream;
    std::string reason;
};

/// Let another host serve the request (one hop at most).
struct hand_over
{
    model::request_id id;
    std::string host;
    std::string reason;
};

/// Send no new work to this engine until `until`.
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

/// Refuse every request with this fingerprint until `until`, on all hosts.
struct quarantine_request
{
    std::uint64_t fingerprint = 0;
    model::time_point until{};
    std::string reason;
};

/// Wish that an engine serve this model; the fleet's one orderer for that
/// engine turns it into a fenced order.
struct shift_model
{
    std::string engine;
    std::string model;
    std::string reason;
};

/// Everything that the decision logic can ask for.
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
