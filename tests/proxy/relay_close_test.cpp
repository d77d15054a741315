#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace caperjunction::test {
namespace {

/// A caller's connection without its relay, so that a test chooses what the
/// loop sees first.
class lone_caller
{
public:
    explicit lone_caller(relay_fixture& site)
        : m_served(std::make_shared<proxy::caller>(
            site.context, [this](proxy::caller const*) {
                closed = true;
            }))
    {
        std::array<int, 2> ends{};
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data())
                == 0);
        m_served->serve(ends[0]);
        m_socket = ends[1];
    }

    ~lone_caller()
    {
        ::close(m_socket);
        m_served->drop();
    }

    lone_caller(lone_caller const&) = delete;
    lone_caller& operator=(lone_caller const&) = delete;

    void send(std::string const& text) const
    {
        REQUIRE(::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL)
                == static_cast<ssize_t>(text.size()));
    }

    /// What has come by now.
    std::string const& got()
    {
        std::array<char, 4'096> bytes{};
        ssize_t size = recv(m_socket, bytes.data(), bytes.size(), 0);
        while (size > 0) {
            m_got.append(bytes.data(), static_cast<std::size_t>(size));
            size = recv(m_socket, bytes.data(), bytes.size(), 0);
        }
        return m_got;
    }

    proxy::caller& served()
    {
        return *m_served;
    }

    bool closed = false;

private:
    std::shared_ptr<proxy::caller> m_served;
    int m_socket = -1;
    std::string m_got;
};

script answers_done(received const&)
{
    return {sound("done")};
}

} // namespace

// The loop is busy while a request comes, and then finds the connection idle
// first: the caller must get its answer, not a close.
TEST_CASE("a request that has come is served before its connection is closed")
{
    relay_fixture site;
    site.add("i-1", "ledger", answers_done);
    lone_caller caller(site);
    caller.send(relay_fixture::request("/book/"));
    caller.served().close_if_idle(0ms);
    CHECK(site.run_until([&caller] {
        return caller.got().find("done") != std::string::npos;
    }));
    CHECK(!caller.closed);
}

// A caller that sends while its idle connection is closed must learn at once
// that nobody has read its request.
TEST_CASE("a request that crosses the close of its connection stays unread")
{
    relay_fixture site;
    auto& ledger = site.add("i-1", "ledger", answers_done);
    auto lists = site.context.table->lists();
    lists.limits.idle_timeout = 50ms;
    site.context.table = std::make_shared<routing::route_table const>(lists);
    auto const caller = site.connect();
    REQUIRE(site.run_until([&caller] {
        return caller->closed;
    }));
    caller->stream->write(relay_fixture::request("/book/"));
    site.run_for(50ms);
    CHECK(ledger.requests.empty());
    REQUIRE(site.connections.size() == 1);
    CHECK(site.connections.back().by == proxy::stream_end::own_close);
    CHECK(site.connections.back().late_bytes == 0);
}

// The operator shortens the idle limit while callers rest on their
// connections: those go by the limit that they know.
TEST_CASE("a shorter idle limit holds from a connection's next answer on")
{
    relay_fixture site;
    site.add("i-1", "ledger", answers_done);
    auto const caller = site.send(relay_fixture::request("/book/"));
    REQUIRE(site.run_until([&caller] {
        return caller->got.find("done") != std::string::npos;
    }));
    auto lists = site.context.table->lists();
    lists.limits.idle_timeout = 1ms;
    site.context.table = std::make_shared<routing::route_table const>(lists);
    site.run_for(400ms);
    CHECK(!caller->closed);
    caller->stream->write(relay_fixture::request("/book/", "a2"));
    CHECK(site.run_until([&caller] {
        return caller->closed;
    }));
    CHECK(site.reports.size() == 2);
}

// A stopping host closes what is idle; a caller that has just connected is
// about to send its request.
TEST_CASE("a stopping host waits for the first request of a new connection")
{
    relay_fixture site;
    site.add("i-1", "ledger", answers_done);
    bool stopped = false;
    site.relay.plan_stop(site.loop.now() - 3'200ms, [&stopped] {
        stopped = true;
    });
    site.run_for(100ms);
    auto const caller = site.connect();
    site.run_for(300ms);
    caller->stream->write(relay_fixture::request("/book/"));
    CHECK(site.run_until([&caller] {
        return caller->got.find("done") != std::string::npos;
    }));
    CHECK(site.run_until([&stopped] {
        return stopped;
    }));
}

} // namespace caperjunction::test
