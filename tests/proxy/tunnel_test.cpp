#include "proxy/host_fleet.hpp"
#include "proxy/upstream_paths.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

struct raw_tunnel
{
    std::shared_ptr<proxy::tcp_stream> stream;
    std::string received;
    bool has_ended = false;
    proxy::connection_end end = proxy::connection_end::closed;
};

std::shared_ptr<raw_tunnel> open_tunnel(host_fleet& fleet,
                                        std::string const& bytes)
{
    auto result = std::make_shared<raw_tunnel>();
    auto* const raw = result.get();
    result->stream = proxy::tcp_stream::connect(
        fleet.loop,
        {"127.0.0.1", fleet.hosts[0]->tunnels->port()},
        1'000ms,
        {nullptr,
         [raw](std::string_view text) {
             raw->received.append(text);
         },
         [raw](proxy::connection_end reason) {
             raw->has_ended = true;
             raw->end = reason;
         },
         nullptr});
    result->stream->write(bytes);
    fleet.run_for(100ms);
    return result;
}

std::optional<proxy::tunnel_status> status_of(raw_tunnel const& tunnel)
{
    auto const size = proxy::tunnel_message_size(tunnel.received);
    auto const reply =
        size && tunnel.received.size() >= *size
            ? proxy::decode_tunnel_reply(tunnel.received.substr(0, *size))
            : std::nullopt;
    return reply ? std::optional(reply->status) : std::nullopt;
}

} // namespace

TEST_CASE("a tunnel carries the bytes of an upstream both ways")
{
    host_fleet fleet({"a"}, 1);
    auto const tunnel =
        open_tunnel(fleet, proxy::encode_tunnel_request({"i-1"}));
    CHECK(status_of(*tunnel) == proxy::tunnel_status::established);
    tunnel->stream->write(relay_fixture::request("/view/", "t1"));
    fleet.run_for(100ms);
    CHECK(tunnel->received.find("HTTP/1.1 200") != std::string::npos);
    CHECK(fleet.runs_of("t1") == 1);
    CHECK(fleet.hosts[0]->context.open_tunnels == 1);
    tunnel->stream->close();
    fleet.run_for(50ms);
    CHECK(fleet.hosts[0]->context.open_tunnels == 0);
}

// Guards against a host of an earlier version that takes lengths of frames for
// bytes of its upstream.
TEST_CASE("a tunnel without frames carries the bytes alone")
{
    host_fleet fleet({"a"}, 1);
    auto const tunnel =
        open_tunnel(fleet, proxy::encode_tunnel_request({"i-1", false}));
    auto const reply = tunnel->received.size();
    tunnel->stream->write(relay_fixture::request("/view/", "t1"));
    fleet.run_for(100ms);
    CHECK(tunnel->received.find("HTTP/1.1 200") == reply);
}

TEST_CASE("frames of a tunnel are read in pieces of any size")
{
    std::string const sent = proxy::encode_tunnel_bytes("first")
                             + proxy::encode_tunnel_bytes(" second")
                             + proxy::encode_tunnel_end() + "late";
    for (std::size_t size = 1; size <= sent.size(); ++size) {
        proxy::tunnel_frames frames;
        std::string read;
        for (std::size_t at = 0; at < sent.size(); at += size) {
            std::string const piece = sent.substr(at, size);
            std::string_view left = piece;
            while (!left.empty() && !frames.has_ended()) {
                read.append(frames.next(left));
            }
        }
        CHECK(read == "first second");
        CHECK(frames.has_ended());
    }
}

// Guards against a peer port through which anyone reaches any address.
TEST_CASE("a tunnel leads to known upstreams only")
{
    host_fleet fleet({"a"}, 1);
    CHECK(status_of(*open_tunnel(fleet, proxy::encode_tunnel_request({"i-7"})))
          == proxy::tunnel_status::refused);
    for (std::string const& bytes : {std::string("\x08\0\0\0AAAAAAAA", 12),
                                     std::string(4, '\xff'),
                                     std::string("GET / HTTP/1.1\r\n\r\n")}) {
        auto const tunnel = open_tunnel(fleet, bytes);
        CHECK(status_of(*tunnel) == proxy::tunnel_status::refused);
    }
    CHECK(fleet.upstreams[0]->connections == 0);
}

// Guards against a host that passes requests on in a circle, and against one
// that stops with work of others.
TEST_CASE("a host without links, or about to stop, offers no tunnel")
{
    host_fleet fleet({"a"}, 3);
    auto& context = fleet.hosts[0]->context;
    for (std::string const id : {"i-1", "i-2", "i-3"}) {
        proxy::record_unreachable(context, *context.directory.find(id));
    }
    auto const request = proxy::encode_tunnel_request({"i-1"});
    CHECK(status_of(*open_tunnel(fleet, request))
          == proxy::tunnel_status::unreachable);
    proxy::record_connected(context, *context.directory.find("i-1"));
    context.is_stopping = true;
    CHECK(status_of(*open_tunnel(fleet, request))
          == proxy::tunnel_status::refused);
}

// Guards against connections to upstreams that nobody owns any more.
TEST_CASE("bytes before a tunnel is established end it on both sides")
{
    host_fleet fleet({"a"}, 1);
    auto const request = proxy::encode_tunnel_request({"i-1"});
    auto const tunnel = open_tunnel(fleet, request + request);
    fleet.run_for(100ms);
    CHECK(tunnel->has_ended);
    CHECK(fleet.hosts[0]->context.open_tunnels == 0);
    CHECK(fleet.upstreams[0]->connections
          == fleet.upstreams[0]->connections_ended);
}

TEST_CASE("a tunnel tells that its upstream can't be reached")
{
    host_fleet fleet({"a"}, 1);
    fleet.set_upstream(0, path_state::resetting);
    CHECK(status_of(*open_tunnel(fleet, proxy::encode_tunnel_request({"i-1"})))
          == proxy::tunnel_status::unreachable);
}

// Guards against an answer that ends early and looks complete.
TEST_CASE("a tunnel is reset when its upstream resets")
{
    host_fleet fleet({"a"}, 1);
    auto const tunnel =
        open_tunnel(fleet, proxy::encode_tunnel_request({"i-1"}));
    CHECK(status_of(*tunnel) == proxy::tunnel_status::established);
    fleet.set_upstream(0, path_state::resetting);
    fleet.run_for(100ms);
    CHECK(tunnel->has_ended);
    CHECK(tunnel->end == proxy::connection_end::reset);
}

// Guards against a request that leaves its home regions on the way.
TEST_CASE("a request passes through hosts of its home regions only")
{
    host_fleet fleet({"a", "b"}, 3);
    auto& context = fleet.hosts[0]->context;
    context.settings.region = "west";
    context.settings
        .data_centres[fleet.hosts[1]->context.settings.data_centre] = {
        routing::distance::other_region, "east"};
    for (std::string const id : {"i-1", "i-2", "i-3"}) {
        proxy::record_unreachable(context, *context.directory.find(id));
    }
    auto const& to = *context.directory.find("i-1");
    CHECK(proxy::path_to_upstream(context, {}, to, 0).peer.has_value());
    routing::home_regions west;
    west.restrict_to({"west"});
    CHECK_FALSE(proxy::path_to_upstream(context, west, to, 0).peer.has_value());
    routing::home_regions east;
    east.restrict_to({"east"});
    CHECK(proxy::path_to_upstream(context, east, to, 0).peer.has_value());
}

// Guards against requests that go the long way after the links are back.
TEST_CASE("requests go directly again when a link works")
{
    host_fleet fleet({"a", "a"}, 5);
    fleet.play(200ms, {"/book/"});
    fleet.set_links(0, path_state::silent);
    fleet.play(1'500ms, {"/book/"});
    CHECK_FALSE(proxy::reaches_upstreams(fleet.hosts[0]->context));
    CHECK(fleet.hosts[1]->context.open_tunnels > 0);
    fleet.set_links(0, path_state::open);
    fleet.play(1'500ms, {"/book/"});
    CHECK(proxy::reaches_upstreams(fleet.hosts[0]->context));
    CHECK(fleet.hosts[1]->context.open_tunnels == 0);
}

// Guards against bookings that run twice, or are said not to have run, when
// the host in between fails.
TEST_CASE("a booking runs at most once when the host in between vanishes")
{
    host_fleet fleet({"a", "a"}, 5);
    fleet.set_links(0, path_state::silent);
    fleet.play(1'500ms, {"/book/"});
    fleet.hosts[1]->tunnels.reset();
    fleet.play(300ms, {"/book/"});
    fleet.run_for(1'600ms);
    for (first_try const& item : fleet.tries) {
        CAPTURE(item.id);
        auto const runs = fleet.runs_of(item.id);
        CHECK((item.says_not_run() ? runs == 0 : runs <= 1));
    }
}

// Guards against a work stop of an upstream for a second being taken for a
// failure: bookings would be given up and streams cut.
TEST_CASE("an upstream that is silent for a second loses no request")
{
    host_fleet fleet({"a", "b"}, 2);
    fleet.play(200ms, {"/book/", "/stream/"});
    fleet.set_upstream(0, path_state::silent);
    fleet.play(1'000ms, {"/book/", "/stream/"});
    fleet.set_upstream(0, path_state::open);
    fleet.run_for(1'500ms);
    for (first_try const& item : fleet.tries) {
        CAPTURE(item.id);
        CAPTURE(item.caller->received_bytes);
        CHECK(item.is_served());
        CHECK(fleet.runs_of(item.id) == 1);
    }
}

// Guards against an answer without a length that counts as complete because the
// host in between ends, though its upstream goes on.
TEST_CASE("an answer that ends with the host in between is not complete")
{
    std::string const head = "HTTP/1.1 200 OK\r\nAttempt-Id: @ID@\r\n"
                             "Response-Seal: s1\r\n\r\n";
    for (std::string const path : {"/book/", "/stream/"}) {
        host_fleet fleet({"a", "a"}, 5);
        fleet.set_links(0, path_state::silent);
        fleet.play(1'500ms, {"/book/"});
        fleet.answer = [&head](received const&) -> script {
            return {head + "id: 1\ndata: half\n\n"};
        };
        fleet.play(20ms, {path});
        fleet.run_for(100ms);
        fleet.hosts[1]->tunnels.reset();
        fleet.run_for(300ms);
        first_try const& cut = fleet.tries[fleet.tries.size() - 2];
        REQUIRE(cut.host == 0);
        CAPTURE(cut.caller->received_bytes);
        CHECK(fleet.runs_of(cut.id) == 1);
        bool const has_begun =
            cut.caller->received_bytes.rfind("HTTP/1.1 200", 0) == 0;
        CHECK(has_begun == (path == "/stream/"));
        CHECK(cut.caller->closed == has_begun);
        CHECK(cut.caller->received_bytes.find("\r\n0\r\n\r\n")
              == std::string::npos);
    }
}

TEST_CASE("an answer that ends with its connection is complete over a tunnel")
{
    host_fleet fleet({"a", "a"}, 5);
    fleet.set_links(0, path_state::silent);
    fleet.play(1'500ms, {"/book/"});
    fleet.answer = [](received const&) -> script {
        return {"HTTP/1.1 200 OK\r\nAttempt-Id: @ID@\r\n"
                "Response-Seal: s1\r\n\r\nid: 1\ndata: done\n\n",
                true};
    };
    auto const since = fleet.loop.now();
    fleet.play(200ms, {"/book/", "/stream/"});
    fleet.run_for(200ms);
    CHECK_FALSE(proxy::reaches_upstreams(fleet.hosts[0]->context));
    CHECK(fleet.sent(0, since) > 0);
    CHECK(fleet.served(0, since) == fleet.sent(0, since));
}

// Guards against a stream of two versions where the host in between has read a
// later start of the upstream.
TEST_CASE("a tunnel leads to the start of the upstream that is meant")
{
    host_fleet fleet({"a"}, 1);
    fleet.set_version(0, "v2");
    std::uint64_t const started =
        fleet.hosts[0]->context.directory.find("i-1")->description.started;
    auto const ask = [&fleet](std::uint64_t meant) {
        return status_of(*open_tunnel(
            fleet, proxy::encode_tunnel_request({"i-1", true, meant})));
    };
    CHECK(ask(started) == proxy::tunnel_status::established);
    CHECK(ask(started + 1) == proxy::tunnel_status::refused);
    // Hosts of earlier versions state no start.
    CHECK(ask(0) == proxy::tunnel_status::established);
}
