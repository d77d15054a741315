#include "net/peer_link.hpp"

#include "model/error.hpp"
#include "net/peer_codec.hpp"
#include "net/peer_connection.hpp"
#include "net/peer_proof.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/manual_clock.hpp"

#include <doctest/doctest.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

constexpr char const* secret = "a secret of enough bytes";

/// One end of the link, with the signals that it emitted.
struct peer
{
    peer(runtime::event_loop& loop,
         std::string const& name,
         std::string const& key = secret)
    {
        net::peer_link_settings settings;
        settings.host = name;
        settings.listen.address = "127.0.0.1";
        settings.secret = key;
        link = std::make_unique<net::peer_link>(loop, settings);
        host.name = name;
        host.peers = {"127.0.0.1", link->port()};
        link->received.connect([this](std::string const& from,
                                      fleet::peer_message const& message) {
            received.emplace_back(from, message);
        });
        link->connected.connect([this](std::string const& to) {
            connected.push_back(to);
        });
        link->disconnected.connect([this](std::string const& to) {
            disconnected.push_back(to);
        });
        link->failed.connect(
            [this](std::string const&, model::error const& error) {
                failed.push_back(error.kind());
            });
    }

    model::host host;
    std::unique_ptr<net::peer_link> link;
    std::vector<std::pair<std::string, fleet::peer_message>> received;
    std::vector<std::string> connected;
    std::vector<std::string> disconnected;
    std::vector<model::error_kind> failed;
};

/// Event loop with a manual clock and real sockets.
struct fixture
{
    /// Polls real socket events until `done`; returns false if that never
    /// happens.
    bool run_until(std::function<bool()> const& done)
    {
        constexpr int max_polls = 20'000;
        for (int poll = 0; poll < max_polls && !done(); ++poll) {
            loop.poll();
        }
        return done();
    }

    void advance(model::milliseconds time)
    {
        for (auto passed = 0ms; passed < time; passed += 100ms) {
            clock.advance(100ms);
            for (int poll = 0; poll < 20; ++poll) {
                loop.poll();
            }
        }
    }

    runtime::manual_clock clock;
    runtime::event_loop loop{clock.as_clock()};
};

void exchange_host_lists(std::vector<peer*> const& peers)
{
    std::vector<model::host> hosts;
    hosts.reserve(peers.size());
    for (peer const* each : peers) {
        hosts.push_back(each->host);
    }
    for (peer const* each : peers) {
        each->link->set_hosts(hosts);
    }
}

fleet::load_digest make_digest(std::uint64_t number)
{
    return {"a", number, 0, {1, 2, 3}};
}

} // namespace

TEST_CASE("messages arrive complete and in order in both directions")
{
    fixture net;
    peer left(net.loop, "a");
    peer right(net.loop, "b");
    exchange_host_lists({&left, &right});
    for (std::uint64_t number = 1; number <= 100; ++number) {
        CHECK(left.link->send("b", make_digest(number)));
    }
    CHECK(right.link->send("a", fleet::probe{7}));
    REQUIRE(net.run_until([&] {
        return right.received.size() == 100 && left.received.size() == 1;
    }));
    for (std::size_t index = 0; index < 100; ++index) {
        CHECK(right.received[index].first == "a");
        CHECK(std::get<fleet::load_digest>(right.received[index].second)
              == make_digest(index + 1));
    }
}

TEST_CASE("a body of several megabytes fits into one frame")
{
    fixture net;
    peer left(net.loop, "a");
    peer right(net.loop, "b");
    exchange_host_lists({&left, &right});
    fleet::hand_over_request request;
    request.body = std::string(8'000'000, 'x');
    CHECK(left.link->send("b", request));
    REQUIRE(net.run_until([&] {
        return right.received.size() == 1;
    }));
    auto const& read =
        std::get<fleet::hand_over_request>(right.received[0].second);
    CHECK(read == request);
}

TEST_CASE("a host with a different secret is refused at both ends")
{
    // A process of another fleet, or an unknown one, reaches the peer port.
    // It must not be able to hand over or receive requests.
    fixture net;
    peer left(net.loop, "a");
    peer right(net.loop, "b", "another secret of many bytes");
    exchange_host_lists({&left, &right});
    left.link->send("b", fleet::probe{1});
    REQUIRE(net.run_until([&] {
        return right.link->counters().refused_handshakes == 1;
    }));
    net.advance(3s);
    CHECK(right.received.empty());
    CHECK(left.connected.empty());
    CHECK(right.failed.at(0) == model::error_kind::unauthenticated);
}

TEST_CASE("a host that the platform does not list is refused")
{
    // A host that was taken out of service still knows the secret. Its view
    // is outdated and must not reach the fleet.
    fixture net;
    peer left(net.loop, "a");
    peer right(net.loop, "b");
    left.link->set_hosts({left.host, right.host});
    right.link->set_hosts({right.host});
    left.link->send("b", fleet::probe{1});
    REQUIRE(net.run_until([&] {
        return right.link->counters().refused_handshakes == 1;
    }));
    CHECK(right.received.empty());
    CHECK_FALSE(right.link->send("a", fleet::probe{1}));
}

TEST_CASE("removing a host from the list closes its connections")
{
    fixture net;
    peer left(net.loop, "a");
    peer right(net.loop, "b");
    exchange_host_lists({&left, &right});
    left.link->send("b", fleet::probe{1});
    REQUIRE(net.run_until([&] {
        return right.received.size() == 1;
    }));
    right.link->set_hosts({right.host});
    REQUIRE(net.run_until([&] {
        return !left.link->is_connected("b");
    }));
    left.link->set_hosts({left.host});
    CHECK_FALSE(left.link->send("b", fleet::probe{1}));
}

TEST_CASE("a silent connection is replaced by a new one")
{
    // A middlebox loses its state of a connection, which stays open but
    // carries no data, while new connections work. Without detection, all
    // messages on it are lost without an error.
    fixture net;
    peer left(net.loop, "a");
    // The peer's loop is not polled: its connections are open and silent.
    fixture remote;
    auto right = std::make_unique<peer>(remote.loop, "b");
    left.link->set_hosts({left.host, right->host});
    right->link->set_hosts({left.host, right->host});
    left.link->set_persistent_peers({"b"});
    auto const both = [&] {
        remote.loop.poll();
        return left.connected.size() == 1;
    };
    REQUIRE(net.run_until(both));
    for (int step = 0; step < 29; ++step) {
        net.advance(100ms);
    }
    CHECK(left.link->counters().silent_connections == 0);
    net.advance(500ms);
    CHECK(left.link->counters().silent_connections == 1);
    // The peer runs again before the new connection times out.
    REQUIRE(net.run_until([&] {
        remote.loop.poll();
        return left.connected.size() == 2;
    }));
    CHECK(left.disconnected.empty());
    left.link->send("b", fleet::probe{5});
    REQUIRE(net.run_until([&] {
        remote.loop.poll();
        return !right->received.empty();
    }));
}

TEST_CASE("a peer that accepts no new connection is reported as disconnected")
{
    // The peer itself is stopped, not only a connection to it. After the
    // silent connection a new one fails too; only then is the peer reported
    // as disconnected.
    fixture net;
    fixture remote;
    peer left(net.loop, "a");
    peer right(remote.loop, "b");
    left.link->set_hosts({left.host, right.host});
    right.link->set_hosts({left.host, right.host});
    left.link->set_persistent_peers({"b"});
    REQUIRE(net.run_until([&] {
        remote.loop.poll();
        return left.connected.size() == 1;
    }));
    net.advance(4s);
    CHECK(left.disconnected.empty());
    net.advance(3s);
    CHECK(left.disconnected == std::vector<std::string>{"b"});
}

TEST_CASE("a host that returns on another port is reconnected")
{
    // A host is replaced by one with the same name and another address.
    fixture net;
    peer left(net.loop, "a");
    auto right = std::make_unique<peer>(net.loop, "b");
    exchange_host_lists({&left, right.get()});
    left.link->set_persistent_peers({"b"});
    REQUIRE(net.run_until([&] {
        return left.connected.size() == 1;
    }));
    right = std::make_unique<peer>(net.loop, "b");
    exchange_host_lists({&left, right.get()});
    net.advance(2s);
    CHECK(left.link->is_connected("b"));
    left.link->send("b", fleet::probe{6});
    REQUIRE(net.run_until([&] {
        return right->received.size() == 1;
    }));
}

TEST_CASE("the queue to a peer that does not read is bounded")
{
    // A peer is stopped in the middle of a burst. Without a limit, messages
    // to it fill the memory of every other host.
    fixture net;
    fixture remote;
    peer left(net.loop, "a");
    peer right(remote.loop, "b");
    left.link->set_hosts({left.host, right.host});
    right.link->set_hosts({left.host, right.host});
    left.link->set_persistent_peers({"b"});
    REQUIRE(net.run_until([&] {
        remote.loop.poll();
        return left.connected.size() == 1;
    }));
    fleet::hand_over_chunk chunk;
    chunk.bytes = std::string(1'000'000, 'x');
    std::size_t accepted = 0;
    while (accepted < 100 && left.link->send("b", chunk)) {
        ++accepted;
        net.loop.poll();
    }
    CHECK(accepted < 100);
    CHECK(left.link->counters().full_queues == 1);
    CHECK(left.link->queued_bytes("b") <= std::size_t{16} * 1024 * 1024);
}

TEST_CASE("invalid frames close the connection and are counted")
{
    // A port scanner, or a client with the wrong port, connects. It must
    // neither be served nor crash the process.
    fixture net;
    peer right(net.loop, "b");
    net::peer_link_counters counters;
    for (std::string const& bytes :
         {std::string("GET / HTTP/1.1\r\n\r\n"),
          std::string("\x04\x00\x00\x00\xff\xff\xff\xff", 8),
          net::encode(fleet::peer_message(fleet::probe{1}))}) {
        auto const client = std::make_shared<net::peer_connection>(
            bufferevent_socket_new(net.loop.base(), -1, BEV_OPT_CLOSE_ON_FREE),
            counters);
        bool ended = false;
        net::peer_connection::callbacks calls;
        calls.frame = [](net::peer_frame const&) {};
        calls.ended = [&](model::error const*) {
            ended = true;
        };
        client->open(calls);
        REQUIRE(client->connect(right.host.peers));
        client->send(bytes);
        CHECK(net.run_until([&] {
            return ended;
        }));
    }
    CHECK(right.link->counters().bad_frames == 2);
    CHECK(right.link->counters().refused_handshakes == 1);
    CHECK(right.received.empty());
    CHECK(right.failed.size() == 3);
}

TEST_CASE("a replayed hello is rejected")
{
    // An eavesdropper sends a recorded hello again. The proof is invalid,
    // because the challenge differs by then.
    net::peer_handshake first{{1}, {2}, "a", "b"};
    auto const proof = net::make_proof(secret, net::proof_side::dialer, first);
    auto other = first;
    other.challenge_nonce = {3};
    CHECK_FALSE(net::equal_proofs(
        proof, net::make_proof(secret, net::proof_side::dialer, other)));
    CHECK_FALSE(net::equal_proofs(
        proof, net::make_proof(secret, net::proof_side::acceptor, first)));
    CHECK(net::make_nonce() != net::make_nonce());
}

TEST_CASE("a short secret or an invalid listen address is rejected")
{
    fixture net;
    CHECK_THROWS_AS(peer(net.loop, "a", "short"), model::error);
    net::peer_link_settings settings;
    settings.host = "a";
    settings.secret = secret;
    settings.listen.address = "no-address";
    CHECK_THROWS_AS(net::peer_link(net.loop, settings), model::error);
}
