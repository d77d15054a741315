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

/// What the front tells its owner.
struct caller_server_hooks
{
    /// A request that may be served; the owner answers it. False: the host
    /// takes no more now, and the front refuses it.
    std::function<bool(std::unique_ptr<exchange>)> arrived;
    /// The caller of this request hung up; its `caller` is gone.
    std::function<void(model::request_id)> disconnected;
};

/// Serves callers: reads requests, checks key, plan and limits, and answers
/// at once what needs no upstream.
///
/// Thread safety: none; owned by one task.
class caller_server
{
public:
    /// \throws model::error (bad_settings) if the address is not to be had.
    caller_server(runtime::event_loop& loop,
                  relay_settings const& settings,
                  caller_server_hooks hooks);
    ~caller_server();
    caller_server(caller_server const&) = delete;
    caller_server& operator=(caller_server const&) = delete;

    /// Null until the first lists have come: callers are asked to wait.
    void use(std::shared_ptr<lists::catalogue const> catalogue)
    {
        m_catalogue = std::move(catalogue);
    }

    std::uint16_t port() const
    {
        return m_port;
    }

    void stop_accepting();

    /// To be called before an answer's end is sent: the connection may go on
    /// to the next request.
    void release(evhttp_request* caller);

private:
    /// What the close callback of a connection needs.
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
    // Of connections whose request is being served.
    std::unordered_map<evhttp_connection*, connection_watch> m_watches;
};

} // namespace caperjunction::net

#endif
