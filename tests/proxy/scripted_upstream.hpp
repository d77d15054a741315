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

/// A request as received by an upstream.
struct received
{
    proxy::message_head head;
    std::string body;
    /// Number of the connection, from 1.
    int connection = 0;
    /// Number of the request on its connection, from 1.
    int number = 0;
};

/// How an upstream reacts to a request.
struct script
{
    /// Written unchanged, except that `@ID@` is replaced by the request's id.
    std::string answer;
    bool closes = false;
    /// Closes the connection with a reset.
    bool resets = false;
    /// Written `delay` after the answer.
    std::string remainder;
    model::milliseconds delay{0};
    /// Bytes of the remainder written at a time, with a delay between; 0 for
    /// all.
    std::size_t piece_bytes = 0;
    /// Written after the rest again and again, until the peer closes: at full
    /// speed, or each `delay` if that is not zero.
    std::string endless;
};

/// An upstream on loopback whose answers are scripted by a test.
class scripted_upstream
{
public:
    scripted_upstream(runtime::event_loop& loop,
                      std::function<script(received const&)> answer);
    ~scripted_upstream();
    scripted_upstream(scripted_upstream const&) = delete;
    scripted_upstream& operator=(scripted_upstream const&) = delete;

    model::endpoint at() const;

    /// Ends all its connections with a reset.
    void reset_all();

    /// All complete requests so far.
    std::vector<received> requests;
    int connections = 0;
    /// Connections that the peer has closed.
    int connections_ended = 0;

private:
    struct client
    {
        std::shared_ptr<proxy::tcp_stream> stream;
        std::unique_ptr<proxy::http_reader> reader;
        received now;
    };

    void accept(int socket);
    void answer(std::shared_ptr<client> const& from);
    void write_remainder(std::shared_ptr<client> const& to, script const& plan);
    void write_endless(std::shared_ptr<client> const& to, script const& plan);

    runtime::event_loop& m_loop;
    std::function<script(received const&)> m_answer;
    evconnlistener* m_listener = nullptr;
    std::uint16_t m_port = 0;
    std::vector<std::shared_ptr<client>> m_clients;
};

} // namespace caperjunction::test

#endif
