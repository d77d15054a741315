#ifndef CAPERJUNCTION_NET_EXCHANGE_HPP
#define CAPERJUNCTION_NET_EXCHANGE_HPP

#include "decide/request.hpp"
#include "model/time.hpp"
#include "net/answer_assembler.hpp"
#include "net/caller_sink.hpp"
#include "net/header.hpp"
#include "net/sse_scanner.hpp"
#include "net/upstream_call.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace caperjunction::net {

/// How an answer reaches the caller.
enum class reply_mode : std::uint8_t
{
    /// Events, passed on as they come.
    events,
    /// One JSON answer, put together from the engine's events.
    assembled,
    /// A plain service's answer, passed on when it is whole.
    collected,
};

/// One caller's request and its answer, over all attempts.
struct exchange
{
    decide::request request;
    reply_mode mode = reply_mode::events;
    /// Empty once the caller has hung up.
    std::optional<caller_sink> caller;
    /// The host that handed the request over; empty for a caller's own.
    std::string from_host;
    /// The host that serves it instead of this one; else empty.
    std::string to_host;
    /// Some of the answer has been sent; no status can be chosen any more.
    bool answer_started = false;

    std::string method = "POST";
    std::string path;
    std::string body;
    std::string idempotency_key;
    std::string content_type = "application/json";

    // The running attempt.
    call_handle call;
    std::string upstream;
    int status = 0;
    bool upstream_not_run = false;
    bool done_seen = false;
    std::string answer_content_type;
    sse_scanner scanner;

    // Over all attempts.
    answer_assembler assembler;
    std::string collected;
    std::uint32_t relayed_tokens = 0;
    /// Relayed, but not yet told to the decision logic.
    std::uint32_t unreported_tokens = 0;
    bool first_token_reported = false;
    /// When the first byte went to the caller.
    model::time_point first_byte_at{};
};

} // namespace caperjunction::net

#endif
