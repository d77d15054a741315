#include "stand_ins/exchange.hpp"

#include "net/read_ahead.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>

#include <memory>
#include <utility>

namespace caperjunction::stand_ins {
namespace {

using buffer_pointer = std::unique_ptr<evbuffer, decltype(&evbuffer_free)>;

buffer_pointer make_buffer(std::string_view text)
{
    buffer_pointer buffer(evbuffer_new(), &evbuffer_free);
    evbuffer_add(buffer.get(), text.data(), text.size());
    return buffer;
}

} // namespace

exchange::exchange(evhttp_request* request)
    : m_request(request)
{
    watch_connection();
}

exchange::~exchange()
{
    if (m_request == nullptr) {
        return;
    }
    if (m_started) {
        abort();
    } else {
        reply_json(503, "{}");
    }
}

void exchange::watch_connection()
{
    evhttp_connection* const connection =
        evhttp_request_get_connection(m_request);
    evhttp_connection_set_closecb(connection, &exchange::closed, this);
    // evhttp stops reading while a request is handled. Without reading ahead
    // it detects a disconnected client only on the first write.
    net::begin_read_ahead(evhttp_connection_get_bufferevent(connection));
}

void exchange::detach_connection()
{
    evhttp_connection* const connection =
        evhttp_request_get_connection(m_request);
    if (connection != nullptr) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        net::end_read_ahead(evhttp_connection_get_bufferevent(connection));
    }
}

void exchange::closed(evhttp_connection* /*connection*/, void* self)
{
    auto* const that = static_cast<exchange*>(self);
    evhttp_request* const request = std::exchange(that->m_request, nullptr);
    // evhttp leaves a request that it has detached from the connection to
    // its handler to free, and frees an attached one with the connection.
    if (evhttp_request_get_connection(request) == nullptr) {
        evhttp_request_free(request);
    }
    closed_hook const hook = std::move(that->m_closed_hook);
    if (hook) {
        hook();
    }
}

std::string exchange::method() const
{
    switch (evhttp_request_get_command(m_request)) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "OTHER";
    }
}

std::string exchange::path() const
{
    evhttp_uri const* const uri = evhttp_request_get_evhttp_uri(m_request);
    char const* const path =
        uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
    return path == nullptr ? "" : path;
}

std::string exchange::query(char const* name) const
{
    evhttp_uri const* const uri = evhttp_request_get_evhttp_uri(m_request);
    char const* const text =
        uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
    evkeyvalq parameters{};
    if (text == nullptr || evhttp_parse_query_str(text, &parameters) != 0) {
        return "";
    }
    char const* const found = evhttp_find_header(&parameters, name);
    std::string value = found == nullptr ? "" : found;
    evhttp_clear_headers(&parameters);
    return value;
}

std::string exchange::header(char const* name) const
{
    evkeyvalq* const headers = evhttp_request_get_input_headers(m_request);
    char const* const found = evhttp_find_header(headers, name);
    return found == nullptr ? "" : found;
}

std::string exchange::body() const
{
    evbuffer* const input = evhttp_request_get_input_buffer(m_request);
    std::string text(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, text.data(), text.size());
    return text;
}

void exchange::on_closed(closed_hook hook)
{
    m_closed_hook = std::move(hook);
}

std::size_t exchange::backlog() const
{
    if (m_request == nullptr) {
        return 0;
    }
    evhttp_connection* const connection =
        evhttp_request_get_connection(m_request);
    bufferevent* const stream = evhttp_connection_get_bufferevent(connection);
    return evbuffer_get_length(bufferevent_get_output(stream));
}

void exchange::add_header(char const* name, std::string const& value)
{
    if (m_request != nullptr) {
        evkeyvalq* const headers = evhttp_request_get_output_headers(m_request);
        evhttp_add_header(headers, name, value.c_str());
    }
}

void exchange::reply(int status, std::string_view type, std::string_view body)
{
    if (m_request == nullptr) {
        return;
    }
    add_header("Content-Type", std::string(type));
    detach_connection();
    auto const content = make_buffer(body);
    evhttp_request* const request = std::exchange(m_request, nullptr);
    evhttp_send_reply(request, status, nullptr, content.get());
}

void exchange::reply_json(int status, std::string_view body)
{
    reply(status, "application/json", body);
}

void exchange::start(std::string_view type)
{
    if (m_request == nullptr) {
        return;
    }
    add_header("Content-Type", std::string(type));
    m_started = true;
    evhttp_send_reply_start(m_request, HTTP_OK, nullptr);
}

void exchange::send(std::string_view text)
{
    if (m_request != nullptr) {
        auto const content = make_buffer(text);
        evhttp_send_reply_chunk(m_request, content.get());
    }
}

void exchange::finish()
{
    if (m_request != nullptr) {
        detach_connection();
        evhttp_send_reply_end(std::exchange(m_request, nullptr));
    }
}

void exchange::abort()
{
    if (m_request == nullptr) {
        return;
    }
    detach_connection();
    evhttp_request* const request = std::exchange(m_request, nullptr);
    evhttp_connection_free(evhttp_request_get_connection(request));
}

} // namespace caperjunction::stand_ins
