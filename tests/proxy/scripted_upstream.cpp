#include "proxy/scripted_upstream.hpp"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <utility>

namespace caperjunction::test {
namespace {

constexpr std::string_view id_mark = "@ID@";

std::string with_id(std::string text, std::string const& id)
{
    for (std::size_t at = text.find(id_mark); at != std::string::npos;
         at = text.find(id_mark)) {
        text.replace(at, id_mark.size(), id);
    }
    return text;
}

} // namespace

scripted_upstream::scripted_upstream(
    runtime::event_loop& loop, std::function<script(received const&)> answer)
    : m_loop(loop)
    , m_answer(std::move(answer))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_listener = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*,
           evutil_socket_t socket,
           sockaddr*,
           int,
           void* self) {
            static_cast<scripted_upstream*>(self)->accept(socket);
        },
        this,
        LEV_OPT_CLOSE_ON_FREE,
        -1,
        reinterpret_cast<sockaddr*>(&address),
        sizeof address);
    socklen_t size = sizeof address;
    getsockname(evconnlistener_get_fd(m_listener),
                reinterpret_cast<sockaddr*>(&address),
                &size);
    m_port = ntohs(address.sin_port);
}

scripted_upstream::~scripted_upstream()
{
    for (auto const& item : m_clients) {
        item->stream->close();
    }
    evconnlistener_free(m_listener);
}

model::endpoint scripted_upstream::at() const
{
    return {"127.0.0.1", m_port};
}

void scripted_upstream::reset_all()
{
    for (auto const& item : m_clients) {
        item->stream->reset();
    }
}

void scripted_upstream::accept(int socket)
{
    auto const result = std::make_shared<client>();
    result->now.connection = ++connections;
    auto* const raw = result.get();
    std::weak_ptr<client> const weak = result;
    result->reader = std::make_unique<proxy::http_reader>(
        HTTP_REQUEST,
        proxy::http_reader::hooks{[raw](proxy::message_head&& head) {
                                      raw->now.head = std::move(head);
                                      raw->now.body.clear();
                                  },
                                  [raw](std::string_view bytes) {
                                      raw->now.body.append(bytes);
                                  },
                                  [this, weak] {
                                      answer(weak.lock());
                                  }});
    result->stream = proxy::tcp_stream::adopt(
        m_loop,
        socket,
        {nullptr,
         [raw](std::string_view bytes) {
             while (!bytes.empty()
                    && raw->reader->fault() == proxy::read_fault::none) {
                 bytes.remove_prefix(raw->reader->feed(bytes));
             }
         },
         [this](proxy::connection_end) {
             ++connections_ended;
         },
         nullptr});
    m_clients.push_back(result);
}

void scripted_upstream::answer(std::shared_ptr<client> const& from)
{
    ++from->now.number;
    requests.push_back(from->now);
    std::string const* const id = from->now.head.find("Attempt-Id");
    script const plan = m_answer(from->now);
    from->stream->write(with_id(plan.answer, id == nullptr ? "" : *id));
    if (!plan.remainder.empty()) {
        write_remainder(from, plan);
    }
    if (!plan.endless.empty()) {
        write_endless(from, plan);
    }
    if (plan.closes) {
        from->stream->close_gracefully();
    }
    if (plan.resets) {
        from->stream->reset();
    }
}

void scripted_upstream::write_endless(std::shared_ptr<client> const& to,
                                      script const& plan)
{
    constexpr std::size_t full_speed_bytes = 262'144;
    constexpr model::milliseconds full_speed_period{1};
    bool const is_fast = plan.delay.count() == 0;
    auto const period = is_fast ? full_speed_period : plan.delay;
    m_loop.after(period, [this, to, plan, is_fast] {
        if (!to->stream->is_open()) {
            return;
        }
        to->stream->write(plan.endless);
        while (is_fast && to->stream->unsent_bytes() < full_speed_bytes) {
            to->stream->write(plan.endless);
        }
        write_endless(to, plan);
    });
}

void scripted_upstream::write_remainder(std::shared_ptr<client> const& to,
                                        script const& plan)
{
    m_loop.after(plan.delay, [this, to, plan] {
        std::size_t const size =
            plan.piece_bytes == 0 ? plan.remainder.size() : plan.piece_bytes;
        to->stream->write(plan.remainder.substr(0, size));
        if (plan.remainder.size() > size) {
            script left = plan;
            left.remainder.erase(0, size);
            write_remainder(to, left);
        }
    });
}

} // namespace caperjunction::test
