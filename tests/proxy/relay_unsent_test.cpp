#include "proxy/relay_fixture.hpp"
#include "proxy/slow_reader.hpp"

#include <doctest/doctest.h>

namespace caperjunction::test {
namespace {

/// Larger than a connection's buffers, and smaller than what is buffered for a
/// slow caller in addition.
constexpr std::size_t large_body = 400'000;

/// Sends a request for a large answer with the headers `more`, and waits until
/// the answer has ended with most of it unsent.
void request_large_answer(relay_fixture& fixture,
                          slow_reader const& caller,
                          std::string const& more = "Connection: close\r\n")
{
    fixture.add("i-1", "ledger", [](received const&) -> script {
        return {valid_answer(std::string(large_body, 'x'))};
    });
    caller.send(relay_fixture::request("/book/", "a1", more));
    REQUIRE(fixture.run_until([&fixture] {
        return !fixture.reports.empty();
    }));
    REQUIRE(fixture.reports.back().outcome == "served");
    REQUIRE(fixture.reports.back().unsent_bytes > 0);
}

} // namespace

TEST_CASE("the rest of an answer is sent however slowly its caller reads")
{
    relay_fixture fixture;
    auto const ends = make_socket_pair();
    slow_reader caller(ends[1]);
    fixture.relay.serve(ends[0]);
    request_large_answer(fixture, caller);
    fixture.run_for(2'500ms);
    CHECK(fixture.run_until([&caller] {
        return caller.received_bytes().size() > large_body;
    }));
    REQUIRE(fixture.run_until([&fixture] {
        return !fixture.connections.empty();
    }));
    CHECK(fixture.connections.back().unsent_bytes == 0);
}

TEST_CASE("a planned stop waits for answers that are still being sent")
{
    relay_fixture fixture;
    auto const ends = make_socket_pair();
    slow_reader caller(ends[1]);
    fixture.relay.serve(ends[0]);
    request_large_answer(fixture, caller);
    bool stopped = false;
    fixture.relay.plan_stop(fixture.loop.now() - 3'500ms, [&stopped] {
        stopped = true;
    });
    fixture.run_for(600ms);
    CHECK(!stopped);
    CHECK(fixture.run_until([&caller] {
        return caller.received_bytes().size() > large_body;
    }));
    CHECK(fixture.run_until([&stopped] {
        return stopped;
    }));
}

TEST_CASE("a caller that pauses for two seconds keeps its connection")
{
    relay_fixture fixture;
    constexpr std::size_t size = 16'000'000;
    fixture.add("i-1", "ledger", [](received const&) -> script {
        return {valid_answer(std::string(size, 'x'))};
    });
    auto lists = fixture.context.table->config();
    lists.routes[1].timeout = 10s;
    fixture.context.table = std::make_shared<routing::route_table const>(lists);
    auto const caller = fixture.connect();
    fixture.run_for(20ms);
    caller->stream->enable_reading(false);
    caller->stream->write("POST /view/x HTTP/1.1\r\nHost: desk.example\r\n"
                          "Attempt-Id: a1\r\nDeadline-Ms: 9000\r\n"
                          "Authorization: Bearer secret\r\n"
                          "Content-Length: 0\r\n\r\n");
    fixture.run_for(2'500ms);
    caller->stream->enable_reading(true);
    CHECK(fixture.run_until([&caller] {
        return caller->received_bytes.size() > size || caller->closed;
    }));
    CHECK(caller->received_bytes.size() > size);
    CHECK(!caller->closed);
}

TEST_CASE("a planned stop sends the rest of an answer on a kept connection")
{
    relay_fixture fixture;
    auto const ends = make_socket_pair();
    slow_reader caller(ends[1]);
    fixture.relay.serve(ends[0]);
    request_large_answer(fixture, caller, "");
    bool stopped = false;
    fixture.relay.plan_stop(fixture.loop.now() - 3'500ms, [&stopped] {
        stopped = true;
    });
    fixture.run_for(1'200ms);
    CHECK(!stopped);
    CHECK(fixture.run_until([&caller] {
        return caller.received_bytes().size() > large_body;
    }));
    CHECK(fixture.run_until([&stopped] {
        return stopped;
    }));
}

TEST_CASE("the idle timeout doesn't end an answer that is still being read")
{
    relay_fixture fixture;
    fixture.set_idle_timeout(500ms);
    auto const ends = make_socket_pair();
    slow_reader caller(ends[1]);
    fixture.relay.serve(ends[0]);
    request_large_answer(fixture, caller, "");
    for (int part = 0; part < 20; ++part) {
        caller.read_some();
        fixture.run_for(100ms);
    }
    CHECK(fixture.run_until([&caller] {
        return caller.received_bytes().size() > large_body;
    }));
}

// A large answer leaves this host at once and waits in buffers on the way while
// its caller pauses. The idle timeout then ran out before the caller had read
// it, and its next request met a closed connection.
TEST_CASE("a caller that pauses in a large answer sends its next request on it")
{
    relay_fixture fixture;
    constexpr std::size_t size = 200'000;
    fixture.add("i-1", "ledger", [](received const&) -> script {
        return {valid_answer(std::string(size, 'x'))};
    });
    auto lists = fixture.context.table->config();
    lists.limits.idle_timeout = 300ms;
    lists.routes[1].timeout = 4s;
    fixture.context.table = std::make_shared<routing::route_table const>(lists);
    auto const caller = fixture.connect();
    fixture.run_for(20ms);
    caller->stream->enable_reading(false);
    std::string const deadline = "Deadline-Ms: 4000\r\n";
    caller->stream->write(relay_fixture::request("/view/", "a1", deadline));
    REQUIRE(fixture.run_until([&fixture] {
        return !fixture.reports.empty();
    }));
    fixture.run_for(2s);
    caller->stream->enable_reading(true);
    CHECK(fixture.run_until([&caller] {
        return caller->received_bytes.size() > size || caller->closed;
    }));
    caller->stream->write(relay_fixture::request("/view/", "a2", deadline));
    CHECK(fixture.run_until([&caller] {
        return caller->received_bytes.size() > 2 * size || caller->closed;
    }));
    CHECK(!caller->closed);
    CHECK(fixture.reports.size() == 2);
}

// A caller that is refused pauses before it reads why.
TEST_CASE("a caller that pauses in a refusal sends its next request on it")
{
    relay_fixture fixture;
    fixture.add("i-1", "ledger", [](received const&) -> script {
        return {valid_answer("done")};
    });
    fixture.set_idle_timeout(300ms);
    auto const caller = fixture.send("POST /book/ HTTP/1.1\r\n"
                                     "Host: desk.example\r\n"
                                     "Attempt-Id: a1\r\n"
                                     "Deadline-Ms: 4000\r\n"
                                     "Authorization: Bearer other\r\n"
                                     "Content-Length: 0\r\n\r\n");
    REQUIRE(fixture.run_until([&fixture] {
        return !fixture.reports.empty();
    }));
    REQUIRE(fixture.reports.back().status == 401);
    fixture.run_for(2s);
    CHECK(!caller->closed);
    caller->stream->write(relay_fixture::request("/book/", "a2"));
    CHECK(fixture.run_until([&caller] {
        return caller->received_bytes.find("done") != std::string::npos
               || caller->closed;
    }));
    CHECK(fixture.reports.size() == 2);
}

// The system of this host holds the rest of an answer whose caller reads it in
// small parts.
TEST_CASE("the idle timeout starts when a slow caller has read the last byte")
{
    relay_fixture fixture;
    constexpr std::size_t size = 100'000;
    fixture.add("i-1", "ledger", [](received const&) -> script {
        return {valid_answer(std::string(size, 'x'))};
    });
    fixture.set_idle_timeout(600ms);
    auto const ends = make_socket_pair();
    slow_reader caller(ends[1]);
    fixture.relay.serve(ends[0]);
    caller.send(relay_fixture::request("/short/"));
    REQUIRE(fixture.run_until([&fixture] {
        return !fixture.reports.empty();
    }));
    REQUIRE(fixture.reports.back().unsent_bytes == 0);
    for (int part = 0; part < 16; ++part) {
        fixture.run_for(100ms);
        caller.read_some();
    }
    CHECK(caller.received_bytes().size() > size);
    CHECK(fixture.connections.empty());
    caller.send(relay_fixture::request("/short/", "a2"));
    CHECK(fixture.run_until([&fixture] {
        return fixture.reports.size() == 2;
    }));
}

TEST_CASE("a caller that never reads its answer is closed after its deadline")
{
    relay_fixture fixture;
    fixture.add("i-1", "ledger", [](received const&) -> script {
        return {valid_answer(std::string(100'000, 'x'))};
    });
    fixture.set_idle_timeout(100ms);
    auto const ends = make_socket_pair();
    slow_reader const caller(ends[1]);
    fixture.relay.serve(ends[0]);
    caller.send(relay_fixture::request("/short/"));
    CHECK(fixture.run_until([&fixture] {
        return !fixture.connections.empty();
    }));
    CHECK(fixture.connections.back().end == proxy::connection_end::own_close);
}

TEST_CASE("a planned stop keeps the connection of a caller that still reads")
{
    relay_fixture fixture;
    fixture.add("i-1", "ledger", [](received const&) -> script {
        return {valid_answer(std::string(100'000, 'x'))};
    });
    auto const ends = make_socket_pair();
    slow_reader caller(ends[1]);
    fixture.relay.serve(ends[0]);
    caller.send(relay_fixture::request("/book/"));
    REQUIRE(fixture.run_until([&fixture] {
        return !fixture.reports.empty();
    }));
    REQUIRE(fixture.reports.back().unsent_bytes == 0);
    fixture.relay.plan_stop(fixture.loop.now() - 3'500ms, [] {});
    fixture.run_for(1'200ms);
    CHECK(fixture.connections.empty());
    CHECK(caller.received_bytes().size() > 100'000);
    caller.send(relay_fixture::request("/book/", "a2"));
    CHECK(fixture.run_until([&fixture] {
        return fixture.reports.size() == 2;
    }));
}

TEST_CASE("a caller that is aborted while it closes is freed")
{
    relay_fixture fixture;
    auto const ends = make_socket_pair();
    slow_reader const caller(ends[1]);
    auto served = std::make_shared<proxy::caller>(fixture.context,
                                                  [](proxy::caller const*) {});
    served->serve(ends[0]);
    request_large_answer(fixture, caller);
    std::weak_ptr<proxy::caller> const weak = served;
    served->abort();
    served.reset();
    fixture.run_for(20ms);
    CHECK(weak.expired());
}

} // namespace caperjunction::test
