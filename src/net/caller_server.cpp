#include "net/caller_server.hpp"

#include "model/error.hpp"
#include "net/http_input.hpp"
#include "net/http_sink.hpp"
#include "net/paths.hpp"
#include "net/read_ahead.hpp"
#include "net/sockets.hpp"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fmt/format.h>

#include <utility>

namespace caperjunction::net {
namespace {

// libevent rejects a longer body with an HTML page instead of JSON. Twice the
// limit lets this code answer bodies that are slightly too long.
constexpr std::size_t body_limit_factor = 2;
constexpr int allowed_methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
                                | EVHTTP_REQ_PATCH;

/// Time for which a caller may pause before it has read its answer. A host
/// can't tell what a caller has read. `proxy::caller` has the same value.
constexpr model::milliseconds max_reading_time{10'000};

timeval to_timeval(model::milliseconds time)
{
    return {time.count() / 1000, (time.count() % 1000) * 1000};
}

/// Extends the timeout of reads by the time in which a caller may still be
/// reading its answer.
void allow_reading(evhttp_connection* connection, model::milliseconds timeout)
{
    timeval const for_reads = to_timeval(timeout + max_reading_time);
    timeval const for_writes = to_timeval(timeout);
    bufferevent_set_timeouts(
        evhttp_connection_get_bufferevent(connection), &for_reads, &for_writes);
}

} // namespace

caller_server::caller_server(runtime::event_loop& loop,
                             relay_settings const& settings,
                             caller_server_hooks hooks)
    : m_loop(loop)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_server(evhttp_new(loop.base()))
{
    evhttp_set_max_headers_size(m_server, model::limits::max_header_bytes);
    evhttp_set_max_body_size(
        m_server,
        static_cast<ev_ssize_t>(m_settings.max_body_bytes * body_limit_factor));
    evhttp_set_allowed_methods(m_server, allowed_methods);
    timeval const limit = to_timeval(m_settings.caller_timeout);
    evhttp_set_timeout_tv(m_server, &limit);
    evhttp_set_gencb(
        m_server,
        [](evhttp_request* caller, void* self) {
            static_cast<caller_server*>(self)->handle(caller);
        },
        this);
    m_socket = evhttp_bind_socket_with_handle(
        m_server, m_settings.listen.address.c_str(), m_settings.listen.port);
    if (m_socket == nullptr) {
        evhttp_free(m_server);
        throw model::error(model::error_kind::bad_settings,
                           fmt::format("cannot listen on {}:{}",
                                       m_settings.listen.address,
                                       m_settings.listen.port),
                           "free that port or choose another with --listen");
    }
    m_port = port_of(m_socket);
}

caller_server::~caller_server()
{
    evhttp_free(m_server);
}

void caller_server::stop_accepting()
{
    if (m_socket != nullptr) {
        evhttp_del_accept_socket(m_server, m_socket);
        m_socket = nullptr;
    }
}

model::request_id caller_server::next_id()
{
    ++m_last_id;
    return {(static_cast<std::uint64_t>(m_settings.id_prefix) << 32U)
            | m_last_id};
}

void caller_server::handle(evhttp_request* caller)
{
    model::request_id const id = next_id();
    evhttp_connection* const connection = evhttp_request_get_connection(caller);
    set_no_delay(connection);
    allow_reading(connection, m_settings.caller_timeout);
    if (is_stopping()) {
        evhttp_add_header(
            evhttp_request_get_output_headers(caller), "Connection", "close");
    }
    try {
        serve(caller, id);
    } catch (model::error const& failure) {
        send_error(make_http_sink(caller, [] {}),
                   {failure.kind(),
                    failure.what(),
                    failure.remedy(),
                    model::milliseconds{0}},
                   {id, model::outcome::not_run});
    }
}

void caller_server::serve(evhttp_request* caller, model::request_id id)
{
    if (m_catalogue == nullptr) {
        send_error(make_http_sink(caller, [] {}),
                   {model::error_kind::unavailable,
                    "this host has no lists yet",
                    "send it again in a second",
                    model::milliseconds{1000}},
                   {id, model::outcome::not_run});
        return;
    }
    std::string const path = path_of(caller);
    lists::identity const identity = authenticate(caller);
    if (path == paths::chat || path == paths::completion) {
        serve_text(caller, id, identity, path == paths::chat);
    } else if (path == paths::models) {
        serve_models(caller, id, identity);
    } else if (path.rfind(paths::services, 0) == 0) {
        serve_service(caller, id, identity);
    } else {
        throw model::error(
            model::error_kind::not_found,
            "nothing is served at this path",
            "use /v1/chat/completions, /v1/completions, /v1/models or "
            "/services/NAME/...");
    }
}

void caller_server::submit(evhttp_request* caller,
                           std::unique_ptr<exchange> created)
{
    model::request_id const id = created->request.id;
    if (m_hooks.arrived(std::move(created))) {
        watch_for_disconnect(caller, id);
        return;
    }
    throw model::error(model::error_kind::unavailable,
                       is_stopping()
                           ? "this host stops"
                           : "this host has more requests than it can hold",
                       "send it again in a second");
}

// libevent stops reading while an answer is due, so it does not detect a
// caller that disconnects before the answer starts, and the engine continues
// to generate an unwanted answer. Continued reading fires the close callback.
void caller_server::watch_for_disconnect(evhttp_request* caller,
                                         model::request_id id)
{
    evhttp_connection* const connection = evhttp_request_get_connection(caller);
    bufferevent* const stream = evhttp_connection_get_bufferevent(connection);
    timeval const limit = to_timeval(m_settings.caller_timeout);
    // Reads have no timeout, because a caller that waits for its answer sends
    // nothing.
    bufferevent_set_timeouts(stream, nullptr, &limit);
    begin_read_ahead(stream);
    connection_watch& created = m_watches[connection];
    created = {this, id, caller};
    evhttp_connection_set_closecb(
        connection,
        [](evhttp_connection* closed, void* arg) {
            connection_watch const seen = *static_cast<connection_watch*>(arg);
            seen.owner->m_watches.erase(closed);
            seen.owner->m_hooks.disconnected(seen.id);
            // evhttp detaches an unanswered request and leaves ownership to
            // the handler. Without this, each disconnect leaks the request
            // with its whole body.
            if (evhttp_request_get_connection(seen.caller) == nullptr) {
                evhttp_request_free(seen.caller);
            }
        },
        &created);
}

void caller_server::release(evhttp_request* caller)
{
    evhttp_connection* const connection = evhttp_request_get_connection(caller);
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    m_watches.erase(connection);
    allow_reading(connection, m_settings.caller_timeout);
    end_read_ahead(evhttp_connection_get_bufferevent(connection));
}

} // namespace caperjunction::net
