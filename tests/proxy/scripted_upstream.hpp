#ifndef CAPERJUNCTION_TESTS_PROXY_SCRIPTED_UPSTREAM_HPP
#define CAPERJUNCTION_TESTS_PROXY_SCRIPTED_UPSTREAM_HPP

#include "proxy/http_reader.hpp"
#include "proxy/tcp_stream.hpp"
#include "runtime/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

struct evconnlistener;

namespace caperjunction::test {

/// A request as an upstream got it.
struct received
{
    proxy::message_head head;
    std::string body;
    /// Counts connections from 1.
    int connection = 0;
};

/// What an upstream does with a request.
struct script
{
    /// Written as it is; `@ID@` stands for the request's id.
    std::string answer;
    bool closes = false;
    /// Ends the connection so that the other side sees a reset.
    bool resets = false;
    /// Written `pause` after the answer.
    std::string rest;
    model::milliseconds pause{0};
    /// Bytes of the rest that are written at a time, with a pause between;
    /// 0: all.
    std::size_t piece = 0;
};

/// An upstream on loopback that answers byte by byte as a test says.
class scripted_upstream
{
public:
    scripted_upstream(runtime::event_loop& loop,
                      std::function<script(received const&)> answer);
    ~scripted_upstream();
    scripted_upstream(scripted_upstream const&) = delete;
    scripted_upstream& operator=(scripted_upstream const&) = delete;

    model::endpoint at() const;

    /// All requests so far, whole ones only.
    std::vector<received> requests;
    int connections = 0;
    /// Connections that the other side has ended.
    int ended = 0;

private:
    struct client
    {
        std::shared_ptr<proxy::tcp_stream> stream;
        std::unique_ptr<proxy::http_reader> reader;
        received now;
    };

    void accept(int socket);
    void answer(std::shared_ptr<client> const& from);
    void write_rest(std::shared_ptr<client> const& to, script const& play);

    runtime::event_loop& m_loop;
    std::function<script(received const&)> m_answer;
    evconnlistener* m_listener = nullptr;
    std::uint16_t m_port = 0;
    std::vector<std::shared_ptr<client>> m_clients;
};

} // namespace caperjunction::test

#endif
