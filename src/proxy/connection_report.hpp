#ifndef CAPERJUNCTION_PROXY_CONNECTION_REPORT_HPP
#define CAPERJUNCTION_PROXY_CONNECTION_REPORT_HPP

#include "model/time.hpp"
#include "proxy/connection_end.hpp"

#include <cstddef>
#include <string_view>

namespace caperjunction::proxy {

/// How a caller's connection ended. For the log and the metrics.
struct connection_report
{
    connection_end end = connection_end::closed;
    /// State of the connection when it ended: idle, reading (a request was
    /// partially received), serving, or finishing (the last answer was being
    /// sent).
    std::string_view activity;
    /// Id of the current or last request; empty if there was none.
    std::string_view id;
    /// Bytes of answers that the socket had not accepted.
    std::size_t unsent_bytes = 0;
    /// Bytes received after this host had started to close the connection. They
    /// get no answer.
    std::size_t late_bytes = 0;
    /// Time since the request's first byte, or since the last answer's last
    /// byte.
    model::milliseconds elapsed{0};

    /// Whether the caller may miss an answer: it sent bytes that were not
    /// handled, or it had neither closed nor reset the connection when its
    /// answer was cut off.
    bool is_loss() const
    {
        bool const has_left =
            end == connection_end::closed || end == connection_end::reset;
        return late_bytes > 0
               || (!has_left && (unsent_bytes > 0 || activity == "serving"));
    }
};

} // namespace caperjunction::proxy

#endif
