#ifndef CAPERJUNCTION_PROXY_ANSWER_SINK_HPP
#define CAPERJUNCTION_PROXY_ANSWER_SINK_HPP

#include <cstddef>
#include <functional>
#include <string_view>

namespace caperjunction::proxy {

/// The way back to a caller, for one request.
struct answer_sink
{
    std::function<void(std::string_view)> write;
    /// The answer is whole, or (false) will never be: the connection is cut,
    /// so that it can't be taken for whole.
    std::function<void(bool complete)> end;
    /// Whether the connection can serve another request afterwards; what the
    /// answer's head then says holds.
    std::function<bool()> keeps_alive;
    /// Whether the caller is still there, by what has come from it by now; if
    /// not, its request has been cancelled when this returns.
    std::function<bool()> is_connected;
    /// Bytes that the caller has not taken yet.
    std::function<std::size_t()> unsent_bytes;
};

} // namespace caperjunction::proxy

#endif
