#ifndef CAPERJUNCTION_NET_UPSTREAM_CALL_HPP
#define CAPERJUNCTION_NET_UPSTREAM_CALL_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "net/header.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::net {

/// Identifies a running call; the default value identifies none.
struct call_handle
{
    std::uint64_t value = 0;

    explicit operator bool() const
    {
        return value != 0;
    }
};

/// Result of a call on the connection level.
enum class call_end : std::uint8_t
{
    complete,
    /// No connection was established, so no byte was sent.
    unreachable,
    /// The connection broke, timed out, or violated the protocol.
    broken,
};

/// Status and headers of an answer.
struct call_head
{
    int status = 0;
    std::string content_type;
    /// The answer has the header `caperjunction-outcome: not-run`.
    bool not_run = false;
    /// From its Retry-After; 0 without one that can be read.
    model::milliseconds retry_after{0};
};

/// Request to an upstream.
struct upstream_call
{
    model::endpoint to;
    std::string method = "POST";
    std::string path;
    std::vector<header> headers;
    std::string body;
    /// Never reuse an idle connection. Set for calls that may not be
    /// repeated: the peer may close an idle connection at any time, and
    /// then it is unknown whether the call ran.
    bool needs_new_connection = false;
    /// A longer body breaks the call; 0: the caller limits it.
    std::size_t max_body_bytes = 0;
};

/// Callbacks of a call; each may cancel the call.
struct call_hooks
{
    std::function<void(call_head const&)> head;
    std::function<void(std::string_view bytes)> body;
    /// Called exactly once, as the last callback; not after a cancel.
    std::function<void(call_end)> done;
};

} // namespace caperjunction::net

#endif
