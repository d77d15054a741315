#include "proxy/http_get.hpp"

#include <fmt/format.h>

#include <utility>

namespace caperjunction::proxy {

http_get::http_get(runtime::event_loop& loop)
    : m_loop(loop)
{
}

http_get::~http_get()
{
    stop();
}

void http_get::stop()
{
    m_loop.cancel(m_limit);
    end();
    if (auto const connection = std::exchange(m_connection, nullptr)) {
        connection->close();
    }
}

void http_get::limit(model::milliseconds longest)
{
    m_loop.cancel(m_limit);
    m_limit = m_loop.after(longest, [this] {
        failed("silent");
    });
}

void http_get::end()
{
    if (std::exchange(m_is_active, false)) {
        m_ended_at = m_loop.now();
    }
}

void http_get::failed(std::string_view why)
{
    stop();
    auto const call = std::exchange(m_call, {});
    if (call.on_failed) {
        call.on_failed(why);
    }
}

get_progress http_get::progress() const
{
    auto const until = m_is_active ? m_loop.now() : m_ended_at;
    auto const since = [until](model::time_point from) {
        return std::chrono::duration_cast<model::milliseconds>(until - from);
    };
    return {m_bytes, since(m_asked_at), since(m_last_byte_at)};
}

void http_get::start(get_request const& request, hooks call)
{
    bool const may_reuse = m_connection && m_connection->is_open()
                           && m_connection->is_available()
                           && m_at == request.at;
    if (!may_reuse) {
        stop();
        m_connection =
            std::make_shared<upstream_connection>(m_loop, request.at);
    }
    m_at = request.at;
    m_call = std::move(call);
    m_body.clear();
    m_bytes = 0;
    m_is_active = true;
    m_asked_at = m_loop.now();
    m_last_byte_at = m_asked_at;
    m_idle_timeout = request.idle_timeout;
    limit(request.first_byte_timeout);
    m_connection->send(
        fmt::format("GET {} HTTP/1.1\r\nHost: {}:{}\r\n{}\r\n",
                    request.target,
                    request.at.address,
                    request.at.port,
                    request.close_after ? "Connection: close\r\n" : ""),
        false,
        request.connect_timeout,
        {[this](message_head&& head) {
             m_status = head.status;
             limit(m_idle_timeout);
         },
         [this](std::string_view bytes) {
             m_body.append(bytes);
             m_bytes += bytes.size();
             m_last_byte_at = m_loop.now();
             limit(m_idle_timeout);
         },
         [this] {
             m_loop.cancel(m_limit);
             end();
             auto const body = std::exchange(m_body, {});
             auto const answered = std::exchange(m_call, {});
             answered.on_answer(m_status, body);
         },
         [this](answer_fault why) {
             failed(why == answer_fault::unreachable ? "unreachable"
                                                     : "broken");
         }});
}

} // namespace caperjunction::proxy
