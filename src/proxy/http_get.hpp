#ifndef CAPERJUNCTION_PROXY_HTTP_GET_HPP
#define CAPERJUNCTION_PROXY_HTTP_GET_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "proxy/message_head.hpp"
#include "proxy/upstream_connection.hpp"
#include "runtime/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// A GET request and its timeouts.
struct get_request
{
    model::endpoint at;
    std::string target;
    /// Whether to close the connection after the answer.
    bool close_after = false;
    model::milliseconds connect_timeout{300};
    /// Time until the answer's first byte.
    model::milliseconds first_byte_timeout{700};
    /// Time between two reads. The total time is not limited: an answer that is
    /// dropped midway is requested again from its first byte, and over a
    /// saturated link it would never arrive.
    model::milliseconds idle_timeout{700};
    /// Time from an answer's head after which it has to have come at
    /// `min_bytes_per_second`. A server that sends a byte now and then would
    /// hold the client forever. Time in which this process was held up doesn't
    /// count.
    model::milliseconds slow_start{5'000};
    double min_bytes_per_second = 1'000.0;
    /// Far above the largest list: a fifth of the memory of a small host.
    std::size_t max_body_bytes = 24'000'000;
};

/// Progress of an answer.
struct get_progress
{
    std::size_t bytes = 0;
    /// Time since the request.
    model::milliseconds total{0};
    /// Time since the last byte, or since the request if no byte was received.
    model::milliseconds idle{0};
};

/// HTTP client that fetches one document at a time and buffers its body.
///
/// Thread safety: none; owned by the loop's task.
class http_get
{
public:
    struct hooks
    {
        std::function<void(int status, std::string const& body)> on_answer;
        /// Called if there is no complete answer. `reason`: silent,
        /// unreachable, broken, slow or too_long.
        std::function<void(std::string_view reason)> on_failed;
    };

    explicit http_get(runtime::event_loop& loop);
    ~http_get();
    http_get(http_get const&) = delete;
    http_get& operator=(http_get const&) = delete;

    /// Sends a request. A request in progress is cancelled without a callback.
    /// Callbacks may start another request.
    void start(get_request const& request, hooks callbacks);

    /// Cancels the request in progress and closes the connection.
    void stop();

    bool is_active() const
    {
        return m_is_active;
    }

    /// Returns a header of the current or last answer; null if it has none.
    std::string const* header(std::string_view name) const
    {
        return m_head.find(name);
    }

    /// Progress of the current or last answer, complete or not.
    get_progress progress() const;

private:
    void handle_body(std::string_view bytes);
    void watch_speed();
    void check_speed();
    void set_timeout(model::milliseconds timeout);
    void record_end();
    void fail(std::string_view reason);

    runtime::event_loop& m_loop;
    std::shared_ptr<upstream_connection> m_connection;
    hooks m_hooks;
    runtime::timer_handle m_timer;
    runtime::timer_handle m_speed_timer;
    /// Speed checks so far, each of which stands for one period.
    int m_speed_checks = 0;
    get_request m_request;
    std::string m_body;
    std::size_t m_bytes = 0;
    model::time_point m_started_at{};
    model::time_point m_last_byte_at{};
    model::time_point m_ended_at{};
    message_head m_head;
    bool m_is_active = false;
};

} // namespace caperjunction::proxy

#endif
