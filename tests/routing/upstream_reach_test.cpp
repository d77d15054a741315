#include "routing/upstream_reach.hpp"

#include "routing/peer_table.hpp"
#include "routing/support.hpp"
#include "routing/tunnel_choice.hpp"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;
using routing::distance;
using routing::upstream_reach;

namespace {

void lose(upstream_reach& reach, model::time_point now)
{
    for (std::string const id : {"i-1", "i-2", "i-3"}) {
        reach.record_unreachable(id, 12, now);
    }
}

} // namespace

// Guards against one crashed upstream being taken for a partition.
TEST_CASE("links are lost when several upstreams in a row can't be reached")
{
    upstream_reach reach;
    for (int attempt = 0; attempt < 10; ++attempt) {
        CHECK_FALSE(reach.record_unreachable("i-1", 12, start));
    }
    CHECK_FALSE(reach.record_unreachable("i-2", 12, start));
    reach.record_connected(start);
    CHECK_FALSE(reach.record_unreachable("i-3", 12, start));
    CHECK_FALSE(reach.record_unreachable("i-1", 12, start));
    CHECK_FALSE(reach.is_lost());
    CHECK(reach.record_unreachable("i-2", 12, start));
    CHECK(reach.is_lost());
}

TEST_CASE("failures far apart are no partition")
{
    upstream_reach reach;
    reach.record_unreachable("i-1", 12, start);
    reach.record_unreachable("i-2", 12, start + 1s);
    CHECK_FALSE(reach.record_unreachable("i-3", 12, start + 2'500ms));
}

// Guards against a small deployment whose partition is never noticed.
TEST_CASE("a deployment with few upstreams needs no more failures than these")
{
    upstream_reach reach;
    CHECK_FALSE(reach.record_unreachable("i-1", 2, start));
    CHECK(reach.record_unreachable("i-2", 2, start));
}

// Guards against a host that goes the long way for ever.
TEST_CASE("links are probed while they are lost, until one works")
{
    upstream_reach reach;
    lose(reach, start);
    CHECK(reach.is_probe_due(0, start + 1s));
    reach.record_probe(start + 1s);
    CHECK_FALSE(reach.is_probe_due(0, start + 1'400ms));
    CHECK(reach.is_probe_due(0, start + 1'500ms));
    CHECK(reach.lost_for(start + 2s) == 2s);
    CHECK(reach.record_connected(start + 2s));
    CHECK_FALSE(reach.is_lost());
    CHECK_FALSE(reach.is_probe_due(0, start + 4s));
}

// Guards against requests that wait on silent connections until their timeouts
// before anything notices the partition.
TEST_CASE("links are probed when upstreams that owe answers are all silent")
{
    upstream_reach reach;
    reach.record_sent(start);
    reach.record_sent(start + 200ms);
    CHECK_FALSE(reach.is_probe_due(2, start + 250ms));
    CHECK(reach.is_probe_due(2, start + 260ms));
    CHECK_FALSE(reach.is_probe_due(1, start + 260ms));
    reach.record_received(start + 260ms);
    CHECK_FALSE(reach.is_probe_due(2, start + 5s));
}

TEST_CASE("open connections count as live while bytes arrive on some")
{
    upstream_reach reach;
    CHECK(reach.has_live_connections(start));
    lose(reach, start);
    reach.record_received(start + 1s);
    CHECK(reach.has_live_connections(start + 1'200ms));
    CHECK_FALSE(reach.has_live_connections(start + 1'300ms));
}

// Guards against traffic between regions where a host nearby would do, and
// against one host that carries all.
TEST_CASE("tunnels lead through the nearest hosts, evenly")
{
    std::vector<routing::tunnel_candidate> const candidates{
        {{"10.0.0.1", 1}, distance::other_region},
        {{"10.0.0.2", 1}, distance::same_region},
        {{"10.0.0.3", 1}, distance::same_region},
    };
    std::set<std::string> chosen;
    for (std::uint64_t value = 0; value < 10; ++value) {
        chosen.insert(routing::choose_tunnel(candidates, value)->address);
    }
    CHECK(chosen == std::set<std::string>{"10.0.0.2", "10.0.0.3"});
    CHECK_FALSE(routing::choose_tunnel({}, 0).has_value());
}

namespace {

routing::peer_digest digest_from(std::uint64_t data_centre,
                                 std::uint16_t tunnel_port)
{
    routing::peer_digest digest;
    digest.generation = 1;
    digest.sequence = 1;
    digest.data_centre = data_centre;
    digest.tunnel_port = tunnel_port;
    return digest;
}

} // namespace

// Guards against requests that go to a host which has lost its links too.
TEST_CASE("tunnels are offered by live hosts that reach upstreams")
{
    routing::peer_table peers({"10.0.0.1", 70}, 1, {{"10.0.0.9", 70}});
    peers.record_digest({"10.0.0.2", 70}, digest_from(1, 71), start);
    peers.record_digest({"10.0.0.3", 70}, digest_from(1, 0), start);
    auto const offered = peers.tunnel_peers(71);
    REQUIRE(offered.size() == 1);
    CHECK(offered.front().at == model::endpoint{"10.0.0.2", 71});
    peers.forget_silent(start + 10s);
    CHECK(peers.tunnel_peers(71).empty());
}

// Guards against a data centre of a large fleet that knows no way out: its
// hosts get no digests from others.
TEST_CASE("without live offers, named hosts of other data centres are asked")
{
    routing::peer_table peers({"10.0.0.1", 70}, 1, {});
    for (int number = 2; number < 20; ++number) {
        auto digest = digest_from(1, 0);
        digest.neighbours = {{{"10.1.0.1", 70}, 2, true}};
        peers.record_digest(
            {"10.0.0." + std::to_string(number), 70}, digest, start);
    }
    auto const offered = peers.tunnel_peers(71);
    REQUIRE(offered.size() == 1);
    CHECK(offered.front().at == model::endpoint{"10.1.0.1", 71});
    CHECK(offered.front().data_centre == 2);
}
