#ifndef CAPERJUNCTION_NET_UPSTREAM_CLIENT_HPP
#define CAPERJUNCTION_NET_UPSTREAM_CLIENT_HPP

#include "model/time.hpp"
#include "net/upstream_call.hpp"
#include "runtime/event_loop.hpp"

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace caperjunction::net {

/// Timeouts of calls to upstreams.
struct upstream_timeouts
{
    /// From the start of the call to the connection.
    model::milliseconds connect{1'000};
    /// From the start of the call to the head of the answer.
    model::milliseconds first_byte{30'000};
    /// Between two parts of an answer.
    model::milliseconds progress{10'000};
};

/// HTTP client for upstreams with a bounded pool of idle connections.
///
/// A middlebox may lose its state of an open connection, which then stays
/// silent while new connections work; the only symptom is that no data arrives.
/// Therefore silence ends the call and its connection, a connection that was
/// idle for `max_idle_time` is closed, and a retry uses another connection.
///
/// Thread safety: none; owned by one task.
class upstream_client
{
public:
    /// Maximum idle connections per upstream.
    static constexpr std::size_t max_idle_connections = 64;
    /// Shorter than the idle timeout of common servers and middleboxes.
    static constexpr model::milliseconds max_idle_time{8'000};
    /// Interval at which timeouts are checked.
    static constexpr model::milliseconds sweep_period{100};

    upstream_client(runtime::event_loop& loop, upstream_timeouts timeouts);
    ~upstream_client();
    upstream_client(upstream_client const&) = delete;
    upstream_client& operator=(upstream_client const&) = delete;

    call_handle start(upstream_call const& call, call_hooks hooks);

    /// Ends the call; no further hook is called.
    void cancel(call_handle call);

    /// Pauses or resumes reading of an answer whose receiver is slow. The
    /// progress timeout doesn't apply while paused.
    void set_paused(call_handle call, bool paused);

    std::size_t running() const
    {
        return m_calls.size();
    }

private:
    struct running_call
    {
        upstream_client* owner = nullptr;
        call_handle handle;
        model::endpoint to;
        call_hooks hooks;
        evhttp_connection* connection = nullptr;
        model::time_point started{};
        model::time_point progressed{};
        std::size_t max_body_bytes = 0;
        std::size_t body_bytes = 0;
        bool connected = false;
        bool answered = false;
        bool failed = false;
        bool paused = false;
        /// The call has finished or was cancelled; no hook may be called.
        bool ended = false;
    };

    struct idle_connection
    {
        evhttp_connection* connection = nullptr;
        model::time_point since{};
    };

    evhttp_connection* acquire_connection(upstream_call const& call);
    void release_connection(running_call& call);
    void finish(running_call& call, call_end end);
    void drop(evhttp_connection* connection);
    void sweep();
    void sweep_idle();
    bool is_overdue(running_call& call) const;
    std::shared_ptr<running_call> remove(call_handle handle);

    static int handle_head(evhttp_request* request, void* self);
    static void handle_bytes(evhttp_request* request, void* self);
    static void handle_done(evhttp_request* request, void* self);

    runtime::event_loop& m_loop;
    upstream_timeouts m_timeouts;
    std::unordered_map<std::uint64_t, std::shared_ptr<running_call>> m_calls;
    std::unordered_map<std::string, std::vector<idle_connection>> m_idle;
    std::uint64_t m_last_call = 0;
    runtime::timer_handle m_sweep;
    // Connections to be freed outside of libevent's callbacks.
    std::vector<evhttp_connection*> m_dropped;
};

} // namespace caperjunction::net

#endif
