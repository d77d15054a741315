#ifndef CAPERJUNCTION_NET_EXCHANGE_HPP
#define CAPERJUNCTION_NET_EXCHANGE_HPP

#include "decide/request.hpp"
#include "model/time.hpp"
#include "net/answer_assembler.hpp"
#include "net/caller_sink.hpp"
#include "net/header.hpp"
#include "net/sse_scanner.hpp"
#include "net/upstream_call.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace caperjunction::net {

/// Form in which an answer is sent to the caller.
enum class reply_mode : std::uint8_t
{
    /// Events, relayed as they arrive.
    events,
    /// One JSON answer, merged from the engine's events.
    assembled,
    /// A service's answer, relayed once it is complete.
    collected,
};

/// A caller's request and its answer, over all attempts.
struct exchange
{
    decide::request request;
    reply_mode mode = reply_mode::events;
    /// Empty once the caller has disconnected.
    std::optional<caller_sink> caller;
    /// Host that handed the request over; empty if it came from a caller.
    std::string from_host;
    /// Host that serves the request instead of this one; otherwise empty.
    std::string to_host;
    /// Part of the answer has been sent, so the status is final.
    bool answer_started = false;

    std::string method = "POST";
    std::string path;
    std::string body;
    std::string idempotency_key;
    std::string content_type = "application/json";

    // Current attempt.
    call_handle call;
    std::string upstream;
    int status = 0;
    bool upstream_not_run = false;
    /// How long the upstream wants no requests; 0: it didn't say.
    model::milliseconds upstream_retry_after{0};
    bool done_seen = false;
    std::string answer_content_type;
    sse_scanner scanner;

    // Over all attempts.
    answer_assembler assembler;
    std::string collected;
    /// Bytes of the answer that are kept in `assembler` and `collected`.
    std::size_t kept_bytes = 0;
    std::uint32_t relayed_tokens = 0;
    /// Relayed, but not yet reported to the decision logic.
    std::uint32_t unreported_tokens = 0;
    bool first_token_reported = false;
    /// Time at which the first byte was sent to the caller.
    model::time_point first_byte_at{};
};

} // namespace caperjunction::net

#endif
