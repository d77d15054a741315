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
        table.hear(host(number),
                   digest(1, static_cast<std::uint64_t>(number / 10)),
                   start);
    }
    return table;
}

} // namespace

TEST_CASE("loads of others are added up, and a newer digest replaces an older")
{
    peer_table table(host(0), 1, {});
    auto told = digest(1);
    told.loads = {{7, {3, 900, 0}, {}}};
    table.hear(host(1), told, start);
    table.hear(host(2), told, start);
    table.add_up();
    CHECK(table.load_of(7).load.running == 6);
    CHECK(table.load_of(7).load.unread_tokens == 1'800);
    told.sequence = 3;
    told.loads.clear();
    table.hear(host(1), told, start);
    table.add_up();
    CHECK(table.load_of(7).load.running == 3);
}

// Datagrams overtake each other. An old one would bring back load that has
// long ended.
TEST_CASE("a digest that comes late changes nothing")
{
    peer_table table(host(0), 1, {});
    table.hear(host(1), digest(5), start);
    auto late = digest(4);
    late.loads = {{7, {3, 900, 0}, {}}};
    table.hear(host(1), late, start);
    table.add_up();
    CHECK(table.load_of(7).load.running == 0);
}

TEST_CASE("a host that starts anew is heard although its count is lower")
{
    peer_table table(host(0), 1, {});
    table.hear(host(1), digest(5), start);
    auto anew = digest(1);
    anew.generation = 2;
    anew.loads = {{7, {1, 10, 0}, {}}};
    table.hear(host(1), anew, start);
    table.add_up();
    CHECK(table.load_of(7).load.running == 1);
    anew.generation = 1;
    anew.loads = {{7, {2, 10, 0}, {}}};
    table.hear(host(1), anew, start);
    table.add_up();
    CHECK(table.load_of(7).load.running == 2);
    anew.loads = {{7, {1, 10, 0}, {}}};
    anew.sequence = 2;
    table.hear(host(1), anew, start);
    table.add_up();
    CHECK(table.load_of(7).load.running == 1);
}

// A host loses power. What it had sent ends with it, and load that is never
// taken back would keep others away from its engines.
TEST_CASE("a silent host's load is forgotten, and its place in the fleet kept")
{
    peer_table table(host(0), 1, {});
    auto told = digest(1);
    told.loads = {{7, {3, 900, 0}, {}}};
    table.hear(host(1), told, start);
    table.forget_silent(start + 5s);
    table.add_up();
    CHECK(table.alive() == 0);
    CHECK(table.load_of(7).load.running == 0);
    CHECK(table.most_seen() == 2);
}

TEST_CASE("hosts are learnt from each other, never oneself")
{
    peer_table table(host(0), 1, {host(1)});
    auto told = digest(1);
    told.neighbours = {{host(0), 1, false}, {host(2), 1, false}};
    table.hear(host(1), told, start);
    auto const audience = table.audience(start, {}, false);
    CHECK(audience.size() == 2);
}

TEST_CASE("all hosts of a small fleet watch the store, few of a large one do")
{
    CHECK(fleet(7).is_reader());
    int readers = 0;
    for (int own = 0; own < 70; ++own) {
        peer_table table(host(own), 0, {});
        for (int other = 0; other < 70; ++other) {
            if (other != own) {
                table.hear(host(other), digest(1, 0), start);
            }
        }
        readers += table.is_reader() ? 1 : 0;
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
        auto told = digest(1, static_cast<std::uint64_t>(number / 10));
        told.known.upstreams = 8;
        table.hear(host(number), told, start);
    }
    std::map<std::string, int> asked;
    for (std::uint64_t draw = 0; draw < 90; ++draw) {
        auto const source =
            table.newer_than({7}, routing::lane::upstreams, draw);
        REQUIRE(source.at != nullptr);
        CHECK(source.is_near);
        ++asked[source.at->address];
    }
    CHECK(asked.size() == 9);
    CHECK(table.newer_than({8}, routing::lane::upstreams, 0).at == nullptr);
}

TEST_CASE("a change that no host nearby has is asked for far away")
{
    peer_table table(host(0), 0, {});
    table.hear(host(1), digest(1, 0), start);
    auto told = digest(1, 2);
    told.known.upstreams = 8;
    table.hear(host(20), told, start);
    auto const source = table.newer_than({7}, routing::lane::upstreams, 5);
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
    auto told = digest(2, 3);
    told.speaks = true;
    told.sums = {{7, {5, 100}}};
    table.hear(host(30), told, start);
    table.hear(host(31), told, start);
    auto const beyond = table.beyond();
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
                table.hear(host(other),
                           digest(1, static_cast<std::uint64_t>(other / 10)),
                           start);
            }
        }
        speakers += table.speaks() ? 1 : 0;
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
        frame.digest.known = {revision, revision + 1, revision + 2};
        frame.digest.hosts_seen = seen;
        frame.digest.speaks = true;
        frame.digest.loads = {
            {upstream, {running, unread, 5}, {1.5, 1, 120ms}}};
        frame.digest.sums = {{upstream + 1, {running, unread, 0}, {}}};
        frame.digest.beyond = {{upstream + 2, {running, unread, 0}, {}}};
        frame.digest.suspects = {{upstream, seen}};
        frame.digest.hosts_here = seen / 2;
        frame.digest.hosts_alive = seen;
        frame.digest.centres = seen / 4;
        frame.digest.relays = true;
        frame.digest.asks = true;
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
        RC_ASSERT(read->digest.limits[0].a_second == 1.625);
        RC_ASSERT(read->digest.limits[0].age == 70ms);
        RC_ASSERT(!read->digest.limits[1].a_second);
        RC_ASSERT(read->digest.known == frame.digest.known);
        RC_ASSERT(read->digest.hosts_seen == seen);
        RC_ASSERT(read->digest.speaks);
        RC_ASSERT(read->digest.loads[0].upstream == upstream);
        RC_ASSERT(read->digest.loads[0].load.running == running);
        RC_ASSERT(read->digest.loads[0].load.unread_tokens == unread);
        RC_ASSERT(read->digest.loads[0].load.urgent == 5);
        RC_ASSERT(read->digest.loads[0].pace.slowness == 1.5);
        RC_ASSERT(read->digest.loads[0].pace.voters == 1);
        RC_ASSERT(read->digest.loads[0].pace.pause == 120ms);
        RC_ASSERT(read->digest.sums[0].pace.voters == 0);
        RC_ASSERT(read->digest.sums[0].upstream == upstream + 1);
        RC_ASSERT(read->digest.beyond[0].upstream == upstream + 2);
        RC_ASSERT(read->digest.suspects[0].crashes == seen);
        RC_ASSERT(read->digest.hosts_here == seen / 2);
        RC_ASSERT(read->digest.hosts_alive == seen);
        RC_ASSERT(read->digest.centres == seen / 4);
        RC_ASSERT(read->digest.relays);
        RC_ASSERT(read->digest.asks);
        RC_ASSERT(read->digest.neighbours[0].at == host(9));
        RC_ASSERT(read->digest.neighbours[0].data_centre == generation);
        RC_ASSERT(read->digest.neighbours[0].relays);
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
