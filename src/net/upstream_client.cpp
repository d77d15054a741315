#include "net/upstream_client.hpp"

#include "net/sockets.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace caperjunction::net {
namespace {

// Disables libevent's own timeout, which would end pauses that sweep allows.
constexpr int libevent_timeout_s = 24 * 3600;

/// Of an answer's head, which libevent doesn't limit by itself.
constexpr ev_ssize_t max_head_bytes = 65'536;
/// Bytes that may wait to be parsed. A chunk's size may be a line without end;
/// beyond this the connection isn't read, and the call times out.
constexpr std::size_t max_unparsed_bytes = 1'048'576;

std::string key_of(model::endpoint const& to)
{
    return fmt::format("{}:{}", to.address, to.port);
}

evhttp_cmd_type method_of(std::string const& name)
{
    if (name == "GET") {
        return EVHTTP_REQ_GET;
    }
    if (name == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    if (name == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    return name == "PATCH" ? EVHTTP_REQ_PATCH : EVHTTP_REQ_POST;
}

} // namespace

upstream_client::upstream_client(runtime::event_loop& loop,
                                 upstream_timeouts timeouts)
    : m_loop(loop)
    , m_timeouts(timeouts)
    , m_sweep(loop.every(sweep_period, [this] {
        sweep();
    }))
{
}

upstream_client::~upstream_client()
{
    m_loop.cancel(m_sweep);
    for (auto& [handle, call] : m_calls) {
        evhttp_connection_free(call->connection);
    }
    for (auto& [key, idle] : m_idle) {
        for (idle_connection const& idle_entry : idle) {
            evhttp_connection_free(idle_entry.connection);
        }
    }
    for (evhttp_connection* const connection : m_dropped) {
        evhttp_connection_free(connection);
    }
}

evhttp_connection*
upstream_client::acquire_connection(upstream_call const& call)
{
    auto& idle = m_idle[key_of(call.to)];
    if (!call.needs_new_connection && !idle.empty()) {
        evhttp_connection* const idle_entry = idle.back().connection;
        idle.pop_back();
        return idle_entry;
    }
    evhttp_connection* const created = evhttp_connection_base_new(
        m_loop.base(), nullptr, call.to.address.c_str(), call.to.port);
    evhttp_connection_set_timeout(created, libevent_timeout_s);
    evhttp_connection_set_max_headers_size(created, max_head_bytes);
    bufferevent_setwatermark(evhttp_connection_get_bufferevent(created),
                             EV_READ,
                             0,
                             max_unparsed_bytes);
    return created;
}

call_handle upstream_client::start(upstream_call const& call, call_hooks hooks)
{
    auto running = std::make_shared<running_call>();
    running->owner = this;
    running->handle = {++m_last_call};
    running->to = call.to;
    running->hooks = std::move(hooks);
    running->connection = acquire_connection(call);
    running->max_body_bytes = call.max_body_bytes;
    running->started = m_loop.now();
    running->progressed = running->started;

    evhttp_request* const request =
        evhttp_request_new(handle_done, running.get());
    evhttp_request_set_header_cb(request, handle_head);
    evhttp_request_set_chunked_cb(request, handle_bytes);
    // Called only for established connections; a refused connection calls
    // only `handle_done`.
    evhttp_request_set_error_cb(
        request, [](evhttp_request_error /*error*/, void* self) {
            static_cast<running_call*>(self)->failed = true;
        });
    auto* const headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", key_of(call.to).c_str());
    for (header const& item : call.headers) {
        evhttp_add_header(headers, item.name.c_str(), item.value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request),
                 call.body.data(),
                 call.body.size());

    call_handle const handle = running->handle;
    evhttp_connection* const connection = running->connection;
    m_calls.emplace(handle.value, std::move(running));
    evhttp_make_request(
        connection, request, method_of(call.method), call.path.c_str());
    set_no_delay(connection);
    return handle;
}

std::shared_ptr<upstream_client::running_call>
upstream_client::remove(call_handle handle)
{
    auto const found = m_calls.find(handle.value);
    if (found == m_calls.end()) {
        return nullptr;
    }
    auto call = std::move(found->second);
    m_calls.erase(found);
    call->ended = true;
    // libevent or a hook of this call may be on the stack; the deferred copy
    // keeps the call alive until it returns.
    m_loop.defer([call] {});
    return call;
}

void upstream_client::cancel(call_handle handle)
{
    if (auto const call = remove(handle)) {
        drop(call->connection);
    }
}

// Deferred, because libevent doesn't allow a connection to be freed inside one
// of its own callbacks.
void upstream_client::drop(evhttp_connection* connection)
{
    m_dropped.push_back(connection);
    m_loop.defer([this, connection] {
        auto const found =
            std::find(m_dropped.begin(), m_dropped.end(), connection);
        if (found != m_dropped.end()) {
            m_dropped.erase(found);
            evhttp_connection_free(connection);
        }
    });
}

void upstream_client::set_paused(call_handle handle, bool paused)
{
    auto const found = m_calls.find(handle.value);
    if (found == m_calls.end() || found->second->paused == paused) {
        return;
    }
    running_call& call = *found->second;
    call.paused = paused;
    call.progressed = m_loop.now();
    bufferevent* const stream =
        evhttp_connection_get_bufferevent(call.connection);
    if (paused) {
        bufferevent_disable(stream, EV_READ);
    } else {
        bufferevent_enable(stream, EV_READ);
    }
}

void upstream_client::handle_bytes(evhttp_request* request, void* self)
{
    auto& call = *static_cast<running_call*>(self);
    call.progressed = call.owner->m_loop.now();
    evbuffer* const input = evhttp_request_get_input_buffer(request);
    std::size_t const size = evbuffer_get_length(input);
    auto const* const bytes =
        reinterpret_cast<char const*>(evbuffer_pullup(input, -1));
    if (call.ended || size == 0) {
        return;
    }
    call.body_bytes += size;
    if (call.max_body_bytes > 0 && call.body_bytes > call.max_body_bytes) {
        call.owner->finish(call, call_end::broken);
        return;
    }
    if (call.hooks.body) {
        call.hooks.body({bytes, size});
    }
}

void upstream_client::handle_done(evhttp_request* request, void* self)
{
    auto& call = *static_cast<running_call*>(self);
    if (call.ended) {
        return;
    }
    bool const completed =
        request != nullptr && evhttp_request_get_response_code(request) != 0;
    if (completed) {
        call.owner->finish(call, call_end::complete);
    } else if (request != nullptr && !call.failed && !call.answered) {
        call.owner->finish(call, call_end::unreachable);
    } else {
        call.owner->finish(call, call_end::broken);
    }
}

void upstream_client::finish(running_call& call, call_end end)
{
    auto const owned = remove(call.handle);
    if (owned == nullptr) {
        return;
    }
    if (end == call_end::complete) {
        release_connection(*owned);
    } else {
        drop(owned->connection);
    }
    if (owned->hooks.done) {
        owned->hooks.done(end);
    }
}

void upstream_client::release_connection(running_call& call)
{
    auto& idle = m_idle[key_of(call.to)];
    if (idle.size() >= max_idle_connections) {
        drop(call.connection);
        return;
    }
    idle.push_back({call.connection, m_loop.now()});
}

} // namespace caperjunction::net
