#ifndef CAPERJUNCTION_NET_CALLER_SERVER_HPP
#define CAPERJUNCTION_NET_CALLER_SERVER_HPP

#include "lists/catalogue.hpp"
#include "net/exchange.hpp"
#include "net/relay_settings.hpp"
#include "runtime/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;

namespace caperjunction::net {

/// Callbacks of `caller_server`.
struct caller_server_hooks
{
    /// A request passed all checks; the owner answers it. Returns false if
    /// the host is full; the server then refuses the request.
    std::function<bool(std::unique_ptr<exchange>)> arrived;
    /// The caller of this request disconnected; its `caller` is invalid.
    std::function<void(model::request_id)> disconnected;
};

/// HTTP server for callers: parses requests, checks key, plan and limits, and
/// answers requests that need no upstream immediately.
///
/// Thread safety: none; owned by one task.
class caller_server
{
public:
    /// \throws model::error (bad_settings) if the address cannot be bound.
    caller_server(runtime::event_loop& loop,
                  relay_settings const& settings,
                  caller_server_hooks hooks);
    ~caller_server();
    caller_server(caller_server const&) = delete;
    caller_server& operator=(caller_server const&) = delete;

    /// Until the first call, callers receive 503 with `Retry-After`.
    void set_catalogue(std::shared_ptr<lists::catalogue const> catalogue)
    {
        m_catalogue = std::move(catalogue);
    }

    std::uint16_t port() const
    {
        return m_port;
    }

    void stop_accepting();

    /// Stops watching the connection. Call before the end of an answer is
    /// sent, because the connection then continues with its next request.
    void release(evhttp_request* caller);

private:
    bool is_stopping() const
    {
        return m_socket == nullptr;
    }

    /// Context of the close callback of a connection.
    struct connection_watch
    {
        caller_server* owner = nullptr;
        model::request_id id;
        evhttp_request* caller = nullptr;
    };

    void handle(evhttp_request* caller);
    void serve(evhttp_request* caller, model::request_id id);
    void serve_text(evhttp_request* caller,
                    model::request_id id,
                    lists::identity const& identity,
                    bool chat);
    void serve_service(evhttp_request* caller,
                       model::request_id id,
                       lists::identity const& identity);
    void serve_models(evhttp_request* caller,
                      model::request_id id,
                      lists::identity const& identity);
    lists::identity authenticate(evhttp_request* caller) const;
    std::unique_ptr<exchange> make_exchange(evhttp_request* caller,
                                            model::request_id id,
                                            lists::identity const& identity);
    void submit(evhttp_request* caller, std::unique_ptr<exchange> created);
    void watch_for_disconnect(evhttp_request* caller, model::request_id id);
    model::request_id next_id();

    runtime::event_loop& m_loop;
    relay_settings m_settings;
    caller_server_hooks m_hooks;
    std::shared_ptr<lists::catalogue const> m_catalogue;
    evhttp* m_server = nullptr;
    evhttp_bound_socket* m_socket = nullptr;
    std::uint16_t m_port = 0;
    std::uint32_t m_last_id = 0;
    // Connections whose request is being served.
    std::unordered_map<evhttp_connection*, connection_watch> m_watches;
};

} // namespace caperjunction::net

#endif
