#ifndef CAPERJUNCTION_PROXY_ANSWER_SINK_HPP
#define CAPERJUNCTION_PROXY_ANSWER_SINK_HPP

#include <cstddef>
#include <functional>
#include <string_view>

namespace caperjunction::proxy {

/// Callbacks through which an exchange sends its answer to the caller.
struct answer_sink
{
    std::function<void(std::string_view)> write;
    /// Ends the answer. `complete` is false if the answer was cut off: the
    /// connection is then reset, so that the caller can't mistake a partial
    /// answer for a complete one.
    std::function<void(bool complete)> end;
    /// Returns whether the connection can serve another request. The answer's
    /// head announces the result, and the connection keeps to it.
    std::function<bool()> keeps_alive;
    /// Reads pending input and returns whether the caller is still connected.
    /// If it isn't, its request has been cancelled by the time this returns.
    std::function<bool()> is_connected;
    /// Bytes written that the socket has not accepted yet.
    std::function<std::size_t()> unsent_bytes;
};

} // namespace caperjunction::proxy

#endif
