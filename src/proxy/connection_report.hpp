#ifndef CAPERJUNCTION_PROXY_CONNECTION_REPORT_HPP
#define CAPERJUNCTION_PROXY_CONNECTION_REPORT_HPP

#include "model/time.hpp"
#include "proxy/connection_end.hpp"

#include <cstddef>
#include <string_view>

namespace caperjunction::proxy {

/// How a caller's connection ended, for the log and the metrics.
struct connection_report
{
    connection_end end = connection_end::closed;
    /// What the connection was doing: idle, reading (a request is in part
    /// here), serving, or finishing (the last answer is on its way out).
    std::string_view activity;
    /// The request that was served, or the last one; empty if there was none.
    std::string_view id;
    /// Bytes of answers that the system had not taken.
    std::size_t unsent_bytes = 0;
    /// Bytes that came after this host had begun to close, and that nobody
    /// answers.
    std::size_t late_bytes = 0;
    /// Since the request's first byte, or the last answer's last.
    model::milliseconds elapsed{0};

    /// A caller that hasn't left may miss an answer.
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
