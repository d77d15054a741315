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

/// Time limits towards upstreams.
struct upstream_timeouts
{
    /// From the call's start to a connection.
    model::milliseconds connect{1'000};
    /// From the call's start to the answer's head.
    model::milliseconds first_byte{30'000};
    /// Between two stretches of an answer.
    model::milliseconds progress{10'000};
};

/// Calls upstreams over a bounded number of kept connections.
///
/// Something between two hosts may lose track of an open connection: it goes
/// silent for good while new ones work. One notices only that nothing comes.
/// So silence ends the call and the connection, a connection that has idled
/// is not used again, and the retry goes over a new one.
///
/// Thread safety: none; owned by one task.
class upstream_client
{
public:
    /// Idle connections kept for each upstream.
    static constexpr std::size_t max_idle_connections = 64;
    /// Shorter than the idle limit of common servers and middleboxes.
    static constexpr model::milliseconds max_idle_time{8'000};
    /// How often time limits are looked at.
    static constexpr model::milliseconds sweep_period{100};

    upstream_client(runtime::event_loop& loop, upstream_timeouts timeouts);
    ~upstream_client();
    upstream_client(upstream_client const&) = delete;
    upstream_client& operator=(upstream_client const&) = delete;

    call_handle start(upstream_call const& call, call_hooks hooks);

    /// Ends the call; its hooks are not called any more.
    void cancel(call_handle call);

    /// Stops or goes on reading an answer whose receiver is slow. A call
    /// that is held back on purpose doesn't count as silent.
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
        bool connected = false;
        bool answered = false;
        bool failed = false;
        bool paused = false;
        /// Its owner has been told, or wants to hear no more.
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
    // Connections that await their end outside of libevent's callbacks.
    std::vector<evhttp_connection*> m_dropped;
};

} // namespace caperjunction::net

#endif
