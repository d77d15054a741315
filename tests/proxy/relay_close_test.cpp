#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>

namespace caperjunction::test {
namespace {

/// Two connected sockets.
std::array<int, 2> connected_pair()
{
    std::array<int, 2> ends{};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data())
            == 0);
    return ends;
}

/// The caller's end of a connection, read only when a test says so.
class reluctant_reader
{
public:
    explicit reluctant_reader(int socket)
        : m_socket(socket)
    {
    }

    ~reluctant_reader()
    {
        ::close(m_socket);
    }

    reluctant_reader(reluctant_reader const&) = delete;
    reluctant_reader& operator=(reluctant_reader const&) = delete;

    /// False if the other end is closed.
    bool can_send(std::string const& text) const
    {
        return ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL)
               == static_cast<ssize_t>(text.size());
    }

    void send(std::string const& text) const
    {
        REQUIRE(can_send(text));
    }

    /// Reads a little of what has come.
    void take_some()
    {
        constexpr std::size_t little = 8'192;
        std::array<char, little> bytes{};
        ssize_t const size = recv(m_socket, bytes.data(), bytes.size(), 0);
        if (size > 0) {
            m_got.append(bytes.data(), static_cast<std::size_t>(size));
        }
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

private:
    int m_socket = -1;
    std::string m_got;
};

/// More than a connection's buffers hold, and less than is held for a slow
/// caller besides.
constexpr std::size_t large_body = 400'000;

/// Sends a request for a large answer with `more` headers, and waits until the
/// answer has ended, most of it unsent.
void ask_for_large(relay_fixture& site,
                   reluctant_reader const& caller,
                   std::string const& more = "Connection: close\r\n")
{
    site.add("i-1", "ledger", [](received const&) -> script {
        return {sound(std::string(large_body, 'x'))};
    });
    caller.send(relay_fixture::request("/book/", "a1", more));
    REQUIRE(site.run_until([&site] {
        return !site.reports.empty();
    }));
    REQUIRE(site.reports.back().outcome == "served");
    REQUIRE(site.reports.back().unsent_bytes > 0);
}

script answers_done(received const&)
{
    return {sound("done")};
}

} // namespace

// A busy loop finds the connection idle before it reads what has come.
TEST_CASE("a request that has come is served before its connection is closed")
{
    relay_fixture site;
    site.add("i-1", "ledger", answers_done);
    auto const ends = connected_pair();
    reluctant_reader caller(ends[1]);
    bool closed = false;
    auto const served = std::make_shared<proxy::caller>(
        site.context, [&closed](proxy::caller const*) {
            closed = true;
        });
    served->serve(ends[0]);
    caller.send(relay_fixture::request("/book/"));
    served->close_if_idle(0ms);
    CHECK(site.run_until([&caller] {
        return caller.got().find("done") != std::string::npos;
    }));
    CHECK(!closed);
    served->drop();
}

// A request that is read after the close is never answered.
TEST_CASE("a request that crosses the close of its connection stays unread")
{
    relay_fixture site;
    auto lists = site.context.table->lists();
    lists.limits.idle_timeout = 50ms;
    site.context.table = std::make_shared<routing::route_table const>(lists);
    auto const ends = connected_pair();
    reluctant_reader const caller(ends[1]);
    site.relay.serve(ends[0]);
    REQUIRE(site.run_until([&site] {
        return !site.connections.empty();
    }));
    CHECK(site.connections.back().by == proxy::stream_end::own_close);
    CHECK(!caller.can_send(relay_fixture::request("/book/")));
}

// Callers that rest know the old limit, and send on a connection that is gone.
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

// A caller that has just connected is about to send its request.
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

// A full link or a slow reader loses the end of its answer.
TEST_CASE("the rest of an answer is sent however long its caller takes")
{
    relay_fixture site;
    auto const ends = connected_pair();
    reluctant_reader caller(ends[1]);
    site.relay.serve(ends[0]);
    ask_for_large(site, caller);
    site.run_for(2'500ms);
    CHECK(site.run_until([&caller] {
        return caller.got().size() > large_body;
    }));
    REQUIRE(site.run_until([&site] {
        return !site.connections.empty();
    }));
    CHECK(site.connections.back().unsent_bytes == 0);
}

// The process ends with an answer that is whole here and not yet sent.
TEST_CASE("a planned stop waits for answers that are still being sent")
{
    relay_fixture site;
    auto const ends = connected_pair();
    reluctant_reader caller(ends[1]);
    site.relay.serve(ends[0]);
    ask_for_large(site, caller);
    bool stopped = false;
    site.relay.plan_stop(site.loop.now() - 3'500ms, [&stopped] {
        stopped = true;
    });
    site.run_for(600ms);
    CHECK(!stopped);
    CHECK(site.run_until([&caller] {
        return caller.got().size() > large_body;
    }));
    CHECK(site.run_until([&stopped] {
        return stopped;
    }));
}

// A caller that is alive loses its answer to a limit meant for dead ones.
TEST_CASE("a caller that pauses for two seconds keeps its connection")
{
    relay_fixture site;
    constexpr std::size_t size = 16'000'000;
    site.add("i-1", "ledger", [](received const&) -> script {
        return {sound(std::string(size, 'x'))};
    });
    auto lists = site.context.table->lists();
    lists.routes[1].timeout = 10s;
    site.context.table = std::make_shared<routing::route_table const>(lists);
    auto const caller = site.connect();
    site.run_for(20ms);
    caller->stream->read(false);
    caller->stream->write("POST /view/x HTTP/1.1\r\nHost: desk.example\r\n"
                          "Attempt-Id: a1\r\nDeadline-Ms: 9000\r\n"
                          "Authorization: Bearer secret\r\n"
                          "Content-Length: 0\r\n\r\n");
    site.run_for(2'500ms);
    caller->stream->read(true);
    CHECK(site.run_until([&caller] {
        return caller->got.size() > size || caller->closed;
    }));
    CHECK(caller->got.size() > size);
    CHECK(!caller->closed);
}

// The request that follows a stream at once crosses a close.
TEST_CASE("a stopping host keeps the connections that it has said it keeps")
{
    relay_fixture site;
    site.add("i-1", "ledger", [](received const& request) -> script {
        if (request.head.target.find("/book/") == 0) {
            return {sound("done")};
        }
        return {stream_head() + chunk("id: 1\ndata: a\n\n"),
                false,
                false,
                chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n",
                300ms};
    });
    auto const caller = site.send(relay_fixture::request("/stream/"));
    REQUIRE(site.run_until([&caller] {
        return caller->got.find("data: a") != std::string::npos;
    }));
    site.relay.plan_stop(site.loop.now(), [] {});
    REQUIRE(site.run_until([&caller] {
        return caller->got.find("0\r\n\r\n") != std::string::npos;
    }));
    site.run_for(100ms);
    CHECK(!caller->closed);
    caller->stream->write(relay_fixture::request("/book/", "a2"));
    CHECK(site.run_until([&caller] {
        return caller->got.find("done") != std::string::npos;
    }));
    CHECK(caller->got.find("Connection: close") != std::string::npos);
    CHECK(site.run_until([&caller] {
        return caller->closed;
    }));
}

// A closed connection doesn't tell the caller whether its request ran.
TEST_CASE("a request that outlasts a planned stop gets a final answer")
{
    relay_fixture site;
    site.add("i-1", "ledger", [](received const&) -> script {
        return {"", false, false, sound("late"), 3'000ms};
    });
    auto const caller = site.send(relay_fixture::request("/book/"));
    site.run_for(50ms);
    bool stopped = false;
    site.relay.plan_stop(site.loop.now() - 7'400ms, [&stopped] {
        stopped = true;
    });
    REQUIRE(site.run_until([&stopped] {
        return stopped;
    }));
    CHECK(site.context.since_stop() < 7'990ms);
    CHECK(caller->got.find("HTTP/1.1 502") == 0);
    REQUIRE(site.reports.size() == 1);
    CHECK(site.reports.back().ended_by == "own_close");
}

// A kept connection counts as idle while its answer is still being read.
TEST_CASE("a planned stop sends the rest of an answer on a kept connection")
{
    relay_fixture site;
    auto const ends = connected_pair();
    reluctant_reader caller(ends[1]);
    site.relay.serve(ends[0]);
    ask_for_large(site, caller, "");
    bool stopped = false;
    site.relay.plan_stop(site.loop.now() - 3'500ms, [&stopped] {
        stopped = true;
    });
    site.run_for(1'200ms);
    CHECK(!stopped);
    CHECK(site.run_until([&caller] {
        return caller.got().size() > large_body;
    }));
    CHECK(site.run_until([&stopped] {
        return stopped;
    }));
}

// A slow caller needs longer for its answer than the idle limit.
TEST_CASE("the idle limit leaves an answer alone that is still being read")
{
    relay_fixture site;
    auto lists = site.context.table->lists();
    lists.limits.idle_timeout = 500ms;
    site.context.table = std::make_shared<routing::route_table const>(lists);
    auto const ends = connected_pair();
    reluctant_reader caller(ends[1]);
    site.relay.serve(ends[0]);
    ask_for_large(site, caller, "");
    for (int part = 0; part < 20; ++part) {
        caller.take_some();
        site.run_for(100ms);
    }
    CHECK(site.run_until([&caller] {
        return caller.got().size() > large_body;
    }));
}

// The end of a pipelined request comes just after the answer before it.
TEST_CASE("the parts of a pipelined request are read in their order")
{
    relay_fixture site;
    auto& ledger = site.add("i-1", "ledger", answers_done);
    auto const ends = connected_pair();
    reluctant_reader const caller(ends[1]);
    site.relay.serve(ends[0]);
    constexpr std::size_t part = 30;
    std::string const second = relay_fixture::request("/book/", "a2");
    caller.send(relay_fixture::request("/book/") + second.substr(0, part));
    REQUIRE(site.run_until([&site] {
        return !site.reports.empty();
    }));
    caller.send(second.substr(part));
    CHECK(site.run_until([&site] {
        return site.reports.size() == 2;
    }));
    CHECK(ledger.requests.size() == 2);
    CHECK(site.reports.back().status == 200);
}

// Connections that were dropped pile up in memory.
TEST_CASE("a caller that is dropped while it finishes is freed")
{
    relay_fixture site;
    auto const ends = connected_pair();
    reluctant_reader const caller(ends[1]);
    auto served = std::make_shared<proxy::caller>(site.context,
                                                  [](proxy::caller const*) {});
    served->serve(ends[0]);
    ask_for_large(site, caller);
    std::weak_ptr<proxy::caller> const weak = served;
    served->drop();
    served.reset();
    site.run_for(20ms);
    CHECK(weak.expired());
}

// The rest of a request has come in time, and this host reads it late.
TEST_CASE("a request that is here by now isn't refused as slow")
{
    relay_fixture site;
    site.add("i-1", "ledger", answers_done);
    auto lists = site.context.table->lists();
    lists.limits.idle_timeout = 100ms;
    lists.limits.header_timeout = 100ms;
    site.context.table = std::make_shared<routing::route_table const>(lists);
    auto const ends = connected_pair();
    reluctant_reader const caller(ends[1]);
    auto const served = std::make_shared<proxy::caller>(
        site.context, [](proxy::caller const*) {});
    served->serve(ends[0]);
    constexpr std::size_t part = 30;
    std::string const text = relay_fixture::request("/book/");
    caller.send(text.substr(0, part));
    site.run_for(30ms);
    caller.send(text.substr(part));
    std::this_thread::sleep_for(150ms);
    served->check_times();
    CHECK(site.run_until([&site] {
        return !site.reports.empty();
    }));
    CHECK(site.reports.back().outcome == "served");
    served->drop();
}

} // namespace caperjunction::test
