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
    peer_digest made;
    made.generation = 1;
    made.sequence = sequence;
    made.data_centre = data_centre;
    return made;
}

/// A table of `count` hosts that are heard, ten to a data centre.
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

// Datagrams overtake each other. An old one would bring back load that has
// long ended.
TEST_CASE("a digest that comes late changes nothing")
{
    peer_table table(host(0), 1, {});
    table.record_digest(host(1), digest(5), start);
    auto late = digest(4);
    late.loads = {{7, {3, 900, 0}, {}}};
    table.record_digest(host(1), late, start);
    table.aggregate();
    CHECK(table.load_of(7).load.running == 0);
}

TEST_CASE("a host that starts anew is heard although its count is lower")
{
    peer_table table(host(0), 1, {});
    table.record_digest(host(1), digest(5), start);
    auto anew = digest(1);
    anew.generation = 2;
    anew.loads = {{7, {1, 10, 0}, {}}};
    table.record_digest(host(1), anew, start);
    table.aggregate();
    CHECK(table.load_of(7).load.running == 1);
    anew.generation = 1;
    anew.loads = {{7, {2, 10, 0}, {}}};
    table.record_digest(host(1), anew, start);
    table.aggregate();
    CHECK(table.load_of(7).load.running == 2);
    anew.loads = {{7, {1, 10, 0}, {}}};
    anew.sequence = 2;
    table.record_digest(host(1), anew, start);
    table.aggregate();
    CHECK(table.load_of(7).load.running == 1);
}

// A host loses power. What it had sent ends with it, and load that is never
// taken back would keep others away from its engines.
TEST_CASE("a silent host's load is forgotten, and its place in the fleet kept")
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

TEST_CASE("hosts are learnt from each other, never oneself")
{
    peer_table table(host(0), 1, {host(1)});
    auto received = digest(1);
    received.neighbours = {{host(0), 1, false}, {host(2), 1, false}};
    table.record_digest(host(1), received, start);
    auto const audience = table.recipients(start, {}, false);
    CHECK(audience.size() == 2);
}

TEST_CASE("all hosts of a small fleet watch the store, few of a large one do")
{
    CHECK(fleet(7).is_store_watcher());
    int readers = 0;
    for (int own = 0; own < 70; ++own) {
        peer_table table(host(own), 0, {});
        for (int other = 0; other < 70; ++other) {
            if (other != own) {
                table.record_digest(host(other), digest(1, 0), start);
            }
        }
        readers += table.is_store_watcher() ? 1 : 0;
    }
    CHECK(readers == 5);
}

// All hosts of a large fleet start at once and lack what one of them has
// read. If all ask the same one, its link is full for seconds, published
// routes are answered 404 meanwhile, and removed keys go on working.
TEST_CASE("hosts that lack a change don't all ask the same one")
{
    peer_table table(host(0), 0, {});
    for (int number = 1; number < 40; ++number) {
        auto received = digest(1, static_cast<std::uint64_t>(number / 10));
        received.revisions.upstreams = 8;
        table.record_digest(host(number), received, start);
    }
    std::map<std::string, int> asked;
    for (std::uint64_t random_value = 0; random_value < 90; ++random_value) {
        auto const source =
            table.newer_than({7}, routing::list_kind::upstreams, random_value);
        REQUIRE(source.at != nullptr);
        CHECK(source.is_near);
        ++asked[source.at->address];
    }
    CHECK(asked.size() == 9);
    CHECK(table.newer_than({8}, routing::list_kind::upstreams, 0).at
          == nullptr);
}

TEST_CASE("a change that no host nearby has is asked for far away")
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

// In a large fleet each host hears only its data centre's hosts often. Those
// that speak for a data centre bring in the rest; two that think they do, as
// one starts, must not be counted twice.
TEST_CASE("sums of other data centres come in once")
{
    peer_table table = fleet(40);
    auto received = digest(2, 3);
    received.is_aggregator = true;
    received.aggregated_loads = {{7, {5, 100}}};
    table.record_digest(host(30), received, start);
    table.record_digest(host(31), received, start);
    auto const beyond = table.remote_loads();
    REQUIRE(beyond.size() == 1);
    CHECK(beyond[0].load.running == 5);
}

TEST_CASE("one host of a data centre speaks for it")
{
    int speakers = 0;
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
        speakers += table.is_aggregator() ? 1 : 0;
    }
    CHECK(speakers == 4);
}

TEST_CASE("a digest reads as it was written")
{
    CHECK(rc::check([](std::uint64_t generation,
                       std::uint64_t sequence,
                       std::uint64_t revision,
                       std::uint32_t seen,
                       std::uint32_t upstream,
                       std::uint16_t running,
                       std::uint32_t unread) {
        proxy::digest_frame frame;
        frame.digest.generation = generation;
        frame.digest.sequence = sequence;
        frame.digest.limits = {{4, 1.625, 70ms}, {5, std::nullopt, 3s}};
        frame.digest.revisions = {revision, revision + 1, revision + 2};
        frame.digest.hosts_seen = seen;
        frame.digest.is_aggregator = true;
        frame.digest.loads = {
            {upstream, {running, unread, 5}, {1.5, 1, 120ms}}};
        frame.digest.aggregated_loads = {
            {upstream + 1, {running, unread, 0}, {}}};
        frame.digest.remote_loads = {{upstream + 2, {running, unread, 0}, {}}};
        frame.digest.suspects = {{upstream, seen}};
        frame.digest.hosts_in_data_centre = seen / 2;
        frame.digest.hosts_alive = seen;
        frame.digest.data_centres = seen / 4;
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
        RC_ASSERT(read->digest.revisions == frame.digest.revisions);
        RC_ASSERT(read->digest.hosts_seen == seen);
        RC_ASSERT(read->digest.is_aggregator);
        RC_ASSERT(read->digest.loads[0].upstream == upstream);
        RC_ASSERT(read->digest.loads[0].load.running == running);
        RC_ASSERT(read->digest.loads[0].load.pending_prefill_tokens == unread);
        RC_ASSERT(read->digest.loads[0].load.urgent == 5);
        RC_ASSERT(read->digest.loads[0].performance.slowdown == 1.5);
        RC_ASSERT(read->digest.loads[0].performance.observers == 1);
        RC_ASSERT(read->digest.loads[0].performance.longest_gap == 120ms);
        RC_ASSERT(read->digest.aggregated_loads[0].performance.observers == 0);
        RC_ASSERT(read->digest.aggregated_loads[0].upstream == upstream + 1);
        RC_ASSERT(read->digest.remote_loads[0].upstream == upstream + 2);
        RC_ASSERT(read->digest.suspects[0].crashes == seen);
        RC_ASSERT(read->digest.hosts_in_data_centre == seen / 2);
        RC_ASSERT(read->digest.hosts_alive == seen);
        RC_ASSERT(read->digest.data_centres == seen / 4);
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

TEST_CASE("bytes that are no digest are nothing")
{
    CHECK(rc::check([](std::string const& bytes) {
        // Whatever it makes of them, it must not read beyond.
        proxy::decode_digest(bytes);
        proxy::decode_items(bytes);
    }));
    CHECK(!proxy::decode_digest(""));
    CHECK(!proxy::decode_items("x"));
}
