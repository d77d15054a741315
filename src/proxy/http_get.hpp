#ifndef CAPERJUNCTION_PROXY_HTTP_GET_HPP
#define CAPERJUNCTION_PROXY_HTTP_GET_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "proxy/upstream_connection.hpp"
#include "runtime/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// What to ask for, and for how long.
struct get_request
{
    model::endpoint at;
    std::string target;
    /// The connection isn't wanted for another request.
    bool close_after = false;
    model::milliseconds connect_timeout{300};
    /// Until the answer's first byte.
    model::milliseconds first_byte_timeout{700};
    /// Between two bytes. Nothing limits the whole: an answer that is dropped
    /// while it comes is asked for again from its first byte, and over a full
    /// link never arrives.
    model::milliseconds idle_timeout{700};
};

/// How far an answer has come.
struct get_progress
{
    std::size_t bytes = 0;
    /// Since the request.
    model::milliseconds total{0};
    /// Since the last byte; since the request if none came.
    model::milliseconds idle{0};
};

/// Asks for one document at a time, and collects it.
///
/// Thread safety: none; owned by the loop's task.
class http_get
{
public:
    struct hooks
    {
        std::function<void(int status, std::string const& body)> on_answer;
        /// There is no whole answer; `why`: silent, unreachable or broken.
        std::function<void(std::string_view reason)> on_failed;
    };

    explicit http_get(runtime::event_loop& loop);
    ~http_get();
    http_get(http_get const&) = delete;
    http_get& operator=(http_get const&) = delete;

    /// Begins to ask; what was asked before is given up without a word. Hooks
    /// may ask again.
    void start(get_request const& request, hooks callbacks);

    /// Gives up what was asked, and the connection.
    void stop();

    bool is_active() const
    {
        return m_is_active;
    }

    /// Of the last answer, whole or not.
    get_progress progress() const;

private:
    void set_timeout(model::milliseconds timeout);
    void record_end();
    void fail(std::string_view reason);

    runtime::event_loop& m_loop;
    std::shared_ptr<upstream_connection> m_connection;
    model::endpoint m_at;
    hooks m_hooks;
    runtime::timer_handle m_timer;
    model::milliseconds m_idle_timeout{0};
    std::string m_body;
    std::size_t m_bytes = 0;
    model::time_point m_started_at{};
    model::time_point m_last_byte_at{};
    model::time_point m_ended_at{};
    int m_status = 0;
    bool m_is_active = false;
};

} // namespace caperjunction::proxy

#endif
