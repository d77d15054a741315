#ifndef CAPERJUNCTION_NET_UPSTREAM_CALL_HPP
#define CAPERJUNCTION_NET_UPSTREAM_CALL_HPP

#include "model/endpoint.hpp"
#include "net/header.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::net {

/// Names a running call; the default names none.
struct call_handle
{
    std::uint64_t value = 0;

    explicit operator bool() const
    {
        return value != 0;
    }
};

/// How a call ended, as far as the connection tells.
enum class call_end : std::uint8_t
{
    complete,
    /// No connection came about: no byte was handed over.
    unreachable,
    /// The connection broke, went silent, or spoke something else.
    broken,
};

/// Status and headers of an answer.
struct call_head
{
    int status = 0;
    std::string content_type;
    /// The answer says `caperjunction-outcome: not-run`.
    bool not_run = false;
};

/// One request to an upstream.
struct upstream_call
{
    model::endpoint to;
    std::string method = "POST";
    std::string path;
    std::vector<header> headers;
    std::string body;
    /// Use no connection that has served before. For calls that may not be
    /// repeated: a kept connection may be closed by the other end at any
    /// moment, and then it can't be known whether the call ran.
    bool needs_new_connection = false;
};

/// What the owner of a call is told; each may cancel the call.
struct call_hooks
{
    std::function<void(call_head const&)> head;
    std::function<void(std::string_view bytes)> body;
    /// Called once, last; not after a cancel.
    std::function<void(call_end)> done;
};

} // namespace caperjunction::net

#endif
