#include "proxy/peer_gossip.hpp"

#include "model/error.hpp"
#include "proxy/relay_fixture.hpp"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    return address;
}

/// A host that exists only as a datagram socket.
class socket_peer
{
public:
    socket_peer()
        : m_socket(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        if (bind(m_socket, reinterpret_cast<sockaddr*>(&address), size) != 0) {
            throw std::runtime_error("no port on loopback");
        }
        getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
    }

    ~socket_peer()
    {
        close(m_socket);
    }

    socket_peer(socket_peer const&) = delete;
    socket_peer& operator=(socket_peer const&) = delete;

    model::endpoint at() const
    {
        return {"127.0.0.1", m_port};
    }

    void send(model::endpoint const& to, proxy::digest_frame const& frame) const
    {
        std::string const bytes = proxy::encode_digest(frame);
        sockaddr_in const address = loopback(to.port);
        sendto(m_socket,
               bytes.data(),
               bytes.size(),
               0,
               reinterpret_cast<sockaddr const*>(&address),
               sizeof address);
    }

    /// Returns the next digest that has arrived.
    std::optional<proxy::digest_frame> receive() const
    {
        std::array<char, 4'096> bytes{};
        ssize_t const size = recv(m_socket, bytes.data(), bytes.size(), 0);
        return size < 0 ? std::nullopt
                        : proxy::decode_digest(
                            {bytes.data(), static_cast<std::size_t>(size)});
    }

private:
    int m_socket;
    std::uint16_t m_port = 0;
};

/// A gossip on a port of its own.
struct bound_gossip
{
    model::endpoint at;
    std::unique_ptr<proxy::peer_gossip> gossip;
};

bound_gossip bind_gossip(proxy::relay_context& context)
{
    // Another process may take a port between the look-up and its use.
    constexpr int max_attempts = 10;
    for (int attempt = 1;; ++attempt) {
        bound_gossip result{socket_peer().at(), nullptr};
        try {
            result.gossip =
                std::make_unique<proxy::peer_gossip>(context, result.at);
            return result;
        } catch (model::error const&) {
            if (attempt == max_attempts) {
                throw;
            }
        }
    }
}

} // namespace

// Guards against work that hosts count but don't tell, and against digests that
// change without the setting.
TEST_CASE("a digest contains the work of urgent prompts if it is reserved for")
{
    for (bool const is_on : {false, true}) {
        relay_fixture fixture;
        socket_peer const peer;
        fixture.context.settings.reserve_by_work = is_on;
        fixture.context.peers.seeds({peer.at()});
        routing::upstream described;
        described.id = "e-1";
        described.service = "llm";
        fixture.context.directory.put(described);
        bound_gossip const host = bind_gossip(fixture.context);
        proxy::digest_frame frame;
        frame.digest.generation = 1;
        frame.digest.sequence = 1;
        peer.send(host.at, frame);
        fixture.context.urgent_demand.record_sent(
            "llm", 40'000, fixture.loop.now());
        std::uint64_t tokens = 0;
        fixture.run_until([&] {
            while (auto const received = peer.receive()) {
                for (auto const& item : received->digest.loads) {
                    tokens = item.load.pending_prefill_tokens;
                }
            }
            return tokens > 0;
        });
        CHECK((tokens > 0) == is_on);
    }
}

// Guards against a key lease that is renewed by the clock of another host: a
// digest to an unknown host must not echo the stamp of the recipient before.
TEST_CASE("a digest echoes only the stamp of its recipient")
{
    relay_fixture fixture;
    std::array<socket_peer, 2> peers;
    bool const is_ordered = peers[0].at().port < peers[1].at().port;
    socket_peer const& first = peers[is_ordered ? 0 : 1];
    socket_peer const& second = peers[is_ordered ? 1 : 0];
    fixture.context.peers.seeds({first.at(), second.at()});
    bound_gossip const host = bind_gossip(fixture.context);
    proxy::digest_frame frame;
    frame.digest.generation = 1;
    frame.digest.sequence = 1;
    frame.stamp = fixture.loop.now();
    first.send(host.at, frame);
    std::size_t echoed = 0;
    std::size_t received_by_second = 0;
    for (int step = 0; step < 20; ++step) {
        fixture.run_for(50ms);
        while (auto const digest = first.receive()) {
            echoed += digest->echoed ? 1 : 0;
        }
        while (auto const digest = second.receive()) {
            ++received_by_second;
            CHECK(!digest->echoed);
        }
    }
    CHECK(echoed > 0);
    CHECK(received_by_second > 0);
}

namespace {

/// A host that gossips with one peer, which exists only as a socket.
struct paired_gossip
{
    relay_fixture fixture;
    socket_peer peer;
    bound_gossip host;

    paired_gossip()
    {
        fixture.context.peers.seeds({peer.at()});
        fixture.context.known = {1, 1, 1};
        host = bind_gossip(fixture.context);
    }

    /// Returns the host's next digest.
    proxy::digest_frame next()
    {
        std::optional<proxy::digest_frame> digest;
        REQUIRE(fixture.run_until([&] {
            digest = digest ? digest : peer.receive();
            return digest.has_value();
        }));
        return *digest;
    }

    void send(std::optional<model::time_point> echoed,
              std::optional<std::chrono::microseconds> confirmed_age)
    {
        proxy::digest_frame frame;
        frame.digest.generation = 1;
        frame.digest.sequence = ++m_sequence;
        frame.digest.revisions = fixture.context.known;
        frame.stamp = fixture.loop.now();
        frame.echoed = echoed;
        frame.confirmed_age = confirmed_age;
        peer.send(host.at, frame);
        fixture.run_for(50ms);
    }

private:
    std::uint64_t m_sequence = 0;
};

} // namespace

TEST_CASE("a peer that echoes a stamp renews the keys")
{
    paired_gossip pair;
    auto const before = *pair.fixture.context.keys.as_of();
    auto const stamped = pair.next().stamp;
    pair.send(stamped, std::chrono::microseconds(0));
    CHECK(*pair.fixture.context.keys.as_of() > before);
    auto const renewed = *pair.fixture.context.keys.as_of();
    pair.send(stamped, std::chrono::microseconds(900'000'000));
    CHECK(*pair.fixture.context.keys.as_of() == renewed);
}

// A process echoes the stamp of a host that has restarted since. Its clock may
// have been ahead of that of the new process, and a revoked key would be
// renewed as of a later time than the peer means.
TEST_CASE("a stamp of another process renews no keys")
{
    paired_gossip pair;
    auto const before = *pair.fixture.context.keys.as_of();
    pair.next();
    pair.send(pair.fixture.loop.now(), std::chrono::microseconds(0));
    CHECK(*pair.fixture.context.keys.as_of() == before);
}

// The peer takes the time for which its stamp was held as passed. A clock that
// runs ahead, or is stepped back, would renew its keys as of a later time.
TEST_CASE("the time for which a stamp was held is no longer than it was")
{
    for (auto const step : {4'000ms, -4'000ms}) {
        CAPTURE(step.count());
        paired_gossip pair;
        pair.next();
        pair.send({}, {});
        while (pair.peer.receive()) {
        }
        pair.fixture.boot_offset = step;
        CHECK(pair.next().echo_held < 2s);
    }
}
