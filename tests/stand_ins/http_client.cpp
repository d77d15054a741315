#include "stand_ins/http_client.hpp"

#include <event2/buffer.h>

namespace caperjunction::testing {
namespace {

// Reached only by a failing test.
constexpr timeval timeout{20, 0};

} // namespace

test_loop::test_loop()
    : m_base(event_base_new(), &event_base_free)
{
}

bool test_loop::run_until(std::function<bool()> const& condition)
{
    bool has_expired = false;
    auto const expired = [](evutil_socket_t, short, void* flag) {
        *static_cast<bool*>(flag) = true;
    };
    std::unique_ptr<event, decltype(&event_free)> const guard(
        evtimer_new(base(), expired, &has_expired), &event_free);
    evtimer_add(guard.get(), &timeout);
    while (!condition() && !has_expired) {
        event_base_loop(base(), EVLOOP_ONCE);
    }
    return condition();
}

http_call::http_call(test_loop& loop,
                     model::endpoint const& to,
                     evhttp_cmd_type method,
                     std::string const& path,
                     std::string const& body,
                     headers const& extra)
    : m_connection(evhttp_connection_base_new(
        loop.base(), nullptr, to.address.c_str(), to.port))
{
    evhttp_request* const request = evhttp_request_new(&http_call::done, this);
    evhttp_request_set_chunked_cb(request, &http_call::chunk);
    evkeyvalq* const fields = evhttp_request_get_output_headers(request);
    evhttp_add_header(fields, "Host", to.address.c_str());
    for (auto const& [name, value] : extra) {
        evhttp_add_header(fields, name.c_str(), value.c_str());
    }
    evbuffer_add(
        evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_make_request(m_connection, request, method, path.c_str());
}

http_call::~http_call()
{
    close();
}

void http_call::close()
{
    if (m_connection != nullptr) {
        evhttp_connection_free(m_connection);
        m_connection = nullptr;
    }
}

void http_call::append_body(evhttp_request* request)
{
    evbuffer* const input = evhttp_request_get_input_buffer(request);
    std::size_t const size = evbuffer_get_length(input);
    std::string part(size, '\0');
    evbuffer_remove(input, part.data(), size);
    m_body += part;
}

void http_call::chunk(evhttp_request* request, void* self)
{
    static_cast<http_call*>(self)->append_body(request);
}

void http_call::done(evhttp_request* request, void* self)
{
    auto* const that = static_cast<http_call*>(self);
    that->m_has_ended = true;
    if (request != nullptr) {
        that->m_status = evhttp_request_get_response_code(request);
        that->append_body(request);
    }
}

} // namespace caperjunction::testing
