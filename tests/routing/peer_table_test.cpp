#include "routing/peer_table.hpp"

#include "proxy/digest_codec.hpp"
#include "proxy/list_codec.hpp"
#include "routing/support.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;
using routing::peer_digest;
using routing::peer_table;

namespace {

model::endpoint host(int number)
{
    return {"10.0.0." + std::to_string(number), 7'000};
}

peer_digest digest(std::uint64_t sequence, std::uint64_t data_centre = 1)
{
    peer_digest result;
    result.generation = 1;
    result.sequence = sequence;
    result.data_centre = data_centre;
    return result;
}

/// Returns a table with the digests of `count` hosts, ten in each data centre.
peer_table fleet(int count)
{
    peer_table table(host(0), 0, {});
    for (int number = 1; number < count; ++number) {
        table.record_digest(host(number),
                            digest(1, static_cast<std::uint64_t>(number / 10)),
                            start);
    }
    return table;
}

} // namespace

TEST_CASE("loads of others are added up, and a newer digest replaces an older")
{
    peer_table table(host(0), 1, {});
    auto received = digest(1);
    received.loads = {{7, {3, 900, 0}, {}}};
    table.record_digest(host(1), received, start);
    table.record_digest(host(2), received, start);
    table.aggregate();
    CHECK(table.load_of(7).load.running == 6);
    CHECK(table.load_of(7).load.pending_prefill_tokens == 1'800);
    received.sequence = 3;
    received.loads.clear();
    table.record_digest(host(1), received, start);
    table.aggregate();
    CHECK(table.load_of(7).load.running == 3);
}

// Datagrams may arrive out of order. An old digest would restore load that has
// ended.
TEST_CASE("a late digest is ignored")
{
    peer_table table(host(0), 1, {});
    table.record_digest(host(1), digest(5), start);
    auto late = digest(4);
    late.loads = {{7, {3, 900, 0}, {}}};
    table.record_digest(host(1), late, start);
    table.aggregate();
    CHECK(table.load_of(7).load.running == 0);
}

TEST_CASE("digests of a restarted host are accepted despite a lower sequence")
{
    peer_table table(host(0), 1, {});
    table.record_digest(host(1), digest(5), start);
    auto restarted = digest(1);
    restarted.generation = 2;
    restarted.loads = {{7, {1, 10, 0}, {}}};
    table.record_digest(host(1), restarted, start);
    table.aggregate();
    CHECK(table.load_of(7).load.running == 1);
    restarted.generation = 1;
    restarted.loads = {{7, {2, 10, 0}, {}}};
    table.record_digest(host(1), restarted, start);
    table.aggregate();
    CHECK(table.load_of(7).load.running == 2);
    restarted.loads = {{7, {1, 10, 0}, {}}};
    restarted.sequence = 2;
    table.record_digest(host(1), restarted, start);
    table.aggregate();
    CHECK(table.load_of(7).load.running == 1);
}

// A host loses power, and its requests end. If its load were kept, other hosts
// would not use its engines.
TEST_CASE("a silent host's load is dropped, and the fleet size seen is kept")
{
    peer_table table(host(0), 1, {});
    auto received = digest(1);
    received.loads = {{7, {3, 900, 0}, {}}};
    table.record_digest(host(1), received, start);
    table.forget_silent(start + 5s);
    table.aggregate();
    CHECK(table.alive() == 0);
    CHECK(table.load_of(7).load.running == 0);
    CHECK(table.largest_fleet_seen() == 2);
}

TEST_CASE("a table learns of other hosts from digests, never of its own host")
{
    peer_table table(host(0), 1, {host(1)});
    auto received = digest(1);
    received.neighbours = {{host(0), 1, false}, {host(2), 1, false}};
    table.record_digest(host(1), received, start);
    auto const recipients = table.recipients(start, {}, false);
    CHECK(recipients.size() == 2);
}

TEST_CASE("all hosts of a small fleet watch the store, few of a large one do")
{
    CHECK(fleet(7).is_store_watcher());
    int store_watchers = 0;
    for (int own = 0; own < 70; ++own) {
        peer_table table(host(own), 0, {});
        for (int other = 0; other < 70; ++other) {
            if (other != own) {
                table.record_digest(host(other), digest(1, 0), start);
            }
        }
        store_watchers += table.is_store_watcher() ? 1 : 0;
    }
    CHECK(store_watchers == 5);
}

// All hosts of a large fleet start at once and lack what one of them has read.
// If all fetch from the same one, its link is full for seconds. Meanwhile
// published routes are answered 404 and revoked keys remain usable.
TEST_CASE("hosts that lack a change don't all fetch from the same one")
{
    peer_table table(host(0), 0, {});
    for (int number = 1; number < 40; ++number) {
        auto received = digest(1, static_cast<std::uint64_t>(number / 10));
        received.revisions.upstreams = 8;
        table.record_digest(host(number), received, start);
    }
    std::map<std::string, int> sources;
    for (std::uint64_t random_value = 0; random_value < 90; ++random_value) {
        auto const source =
            table.newer_than({7}, routing::list_kind::upstreams, random_value);
        REQUIRE(source.at != nullptr);
        CHECK(source.is_near);
        ++sources[source.at->address];
    }
    CHECK(sources.size() == 9);
    CHECK(table.newer_than({8}, routing::list_kind::upstreams, 0).at
          == nullptr);
}

TEST_CASE("a change that no near host has is fetched from another data centre")
{
    peer_table table(host(0), 0, {});
    table.record_digest(host(1), digest(1, 0), start);
    auto received = digest(1, 2);
    received.revisions.upstreams = 8;
    table.record_digest(host(20), received, start);
    auto const source = table.newer_than({7}, routing::list_kind::upstreams, 5);
    REQUIRE(source.at != nullptr);
    CHECK(*source.at == host(20));
    CHECK(!source.is_near);
}

// In a large fleet each host frequently receives digests only from its own data
// centre, and aggregators supply the remaining loads. While one starts, a data
// centre may have two aggregators, which must not be counted twice.
TEST_CASE("aggregated loads of another data centre are counted once")
{
    peer_table table = fleet(40);
    auto received = digest(2, 3);
    received.is_aggregator = true;
    received.aggregated_loads = {{7, {5, 100}}};
    table.record_digest(host(30), received, start);
    table.record_digest(host(31), received, start);
    auto const remote = table.remote_loads();
    REQUIRE(remote.size() == 1);
    CHECK(remote[0].load.running == 5);
}

TEST_CASE("each data centre has one aggregator")
{
    int aggregators = 0;
    for (int own = 0; own < 40; ++own) {
        peer_table table(host(own), static_cast<std::uint64_t>(own / 10), {});
        for (int other = 0; other < 40; ++other) {
            if (other != own) {
                table.record_digest(
                    host(other),
                    digest(1, static_cast<std::uint64_t>(other / 10)),
                    start);
            }
        }
        aggregators += table.is_aggregator() ? 1 : 0;
    }
    CHECK(aggregators == 4);
}

TEST_CASE("a digest is decoded as it was encoded")
{
    CHECK(rc::check([](std::uint64_t generation,
                       std::uint64_t sequence,
                       std::uint64_t revision,
                       std::uint32_t hosts,
                       std::uint32_t upstream,
                       std::uint16_t running,
                       std::uint32_t pending_tokens) {
        proxy::digest_frame frame;
        frame.digest.generation = generation;
        frame.digest.sequence = sequence;
        frame.digest.limits = {{4, 1.625, 70ms}, {5, std::nullopt, 3s}};
        frame.digest.pauses = {{upstream, 1'500ms, host(3)}, {5, 2s, {}}};
        frame.digest.lost_links = {upstream, 77};
        frame.digest.leaving = {generation, sequence};
        frame.digest.revisions = {revision, revision + 1, revision + 2};
        frame.digest.hosts_seen = hosts;
        frame.digest.is_aggregator = true;
        frame.digest.loads = {
            {upstream, {running, pending_tokens, 5}, {1.5, 1, 120ms}}};
        frame.digest.aggregated_loads = {
            {upstream + 1, {running, pending_tokens, 0}, {}}};
        frame.digest.remote_loads = {
            {upstream + 2, {running, pending_tokens, 0}, {}}};
        frame.digest.hosts_in_data_centre = hosts / 2;
        frame.digest.hosts_alive = hosts;
        frame.digest.data_centres = hosts / 4;
        frame.digest.is_gateway = true;
        frame.digest.requests_reply = true;
        frame.digest.neighbours = {{host(9), generation, true}};
        frame.stamp = start;
        frame.echoed = start + 5ms;
        frame.echo_held = std::chrono::microseconds(77);
        frame.confirmed_age = std::chrono::microseconds(99);
        auto const read = proxy::decode_digest(proxy::encode_digest(frame));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->digest.generation == generation);
        RC_ASSERT(read->digest.sequence == sequence);
        RC_ASSERT(read->digest.limits.size() == std::size_t{2});
        RC_ASSERT(read->digest.limits[0].requests_per_second == 1.625);
        RC_ASSERT(read->digest.limits[0].age == 70ms);
        RC_ASSERT(!read->digest.limits[1].requests_per_second);
        RC_ASSERT(read->digest.pauses.size() == std::size_t{2});
        RC_ASSERT(read->digest.pauses[0].upstream == upstream);
        RC_ASSERT(read->digest.pauses[0].left == 1'500ms);
        RC_ASSERT(read->digest.pauses[0].through == host(3));
        RC_ASSERT(!read->digest.pauses[1].through);
        RC_ASSERT(read->digest.lost_links == frame.digest.lost_links);
        RC_ASSERT(read->digest.leaving == frame.digest.leaving);
        RC_ASSERT(read->digest.revisions == frame.digest.revisions);
        RC_ASSERT(read->digest.hosts_seen == hosts);
        RC_ASSERT(read->digest.is_aggregator);
        RC_ASSERT(read->digest.loads[0].upstream == upstream);
        RC_ASSERT(read->digest.loads[0].load.running == running);
        RC_ASSERT(read->digest.loads[0].load.pending_prefill_tokens
                  == pending_tokens);
        RC_ASSERT(read->digest.loads[0].load.urgent == 5);
        RC_ASSERT(read->digest.loads[0].performance.slowdown == 1.5);
        RC_ASSERT(read->digest.loads[0].performance.observers == 1);
        RC_ASSERT(read->digest.loads[0].performance.longest_gap == 120ms);
        RC_ASSERT(read->digest.aggregated_loads[0].performance.observers == 0);
        RC_ASSERT(read->digest.aggregated_loads[0].upstream == upstream + 1);
        RC_ASSERT(read->digest.remote_loads[0].upstream == upstream + 2);
        RC_ASSERT(read->digest.hosts_in_data_centre == hosts / 2);
        RC_ASSERT(read->digest.hosts_alive == hosts);
        RC_ASSERT(read->digest.data_centres == hosts / 4);
        RC_ASSERT(read->digest.is_gateway);
        RC_ASSERT(read->digest.requests_reply);
        RC_ASSERT(read->digest.neighbours[0].at == host(9));
        RC_ASSERT(read->digest.neighbours[0].data_centre == generation);
        RC_ASSERT(read->digest.neighbours[0].is_gateway);
        RC_ASSERT(read->stamp == start);
        RC_ASSERT(*read->echoed == start + 5ms);
        RC_ASSERT(read->echo_held.count() == 77);
        RC_ASSERT(read->confirmed_age->count() == 99);
    }));
}

TEST_CASE("invalid bytes decode to nothing")
{
    CHECK(rc::check([](std::string const& bytes) {
        // The decoders must not read out of bounds, whatever the input.
        proxy::decode_digest(bytes);
        proxy::decode_items(bytes);
    }));
    CHECK(!proxy::decode_digest(""));
    CHECK(!proxy::decode_items("x"));
}
