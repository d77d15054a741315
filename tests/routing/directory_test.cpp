#include "routing/peer_digest.hpp"
#include "routing/support.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <set>
#include <string>

using namespace caperjunction;
using namespace caperjunction::test;

TEST_CASE("an upstream that leaves is out of its service until it starts again")
{
    routing::upstream_directory directory([](std::string const&) {
        return routing::location{};
    });
    routing::upstream described;
    described.id = "i-1";
    described.service = "ledger";
    described.started = 3;
    directory.put(described);
    auto const state = directory.find("i-1");
    CHECK(directory.record_leaving(*state));
    CHECK_FALSE(directory.record_leaving(*state));
    CHECK(directory.of_service("ledger").empty());
    directory.put(described);
    CHECK(directory.of_service("ledger").empty());
    CHECK(state->is_retired);
    described.started = 4;
    directory.put(described);
    CHECK(directory.of_service("ledger").size() == 1);
}

// The store is unavailable for longer than its leases. When it recovers it
// removes all entries before their engines have renewed them. A host that
// applied this at once would refuse every request for seconds.
TEST_CASE("entries that expire during a store outage are kept for a while")
{
    routing::upstream_directory directory(locate);
    directory.put(engine("e1"));
    directory.put(engine("e2"));
    directory.store_regained(start);
    directory.remove("e1", start + 100ms);
    directory.remove("e2", start + 100ms);
    CHECK(directory.of_service("llm").size() == 2);
    directory.put(engine("e1"));
    directory.drop_missing(start + 1'900ms);
    CHECK(directory.of_service("llm").size() == 2);
    directory.drop_missing(start + 2'000ms);
    REQUIRE(directory.of_service("llm").size() == 1);
    CHECK(directory.of_service("llm")[0]->description.id == "e1");
}

TEST_CASE("an entry that is removed in the steady state is dropped at once")
{
    routing::upstream_directory directory(locate);
    directory.put(engine("e1"));
    auto const held = directory.find("e1");
    directory.remove("e1", start);
    CHECK(directory.of_service("llm").empty());
    CHECK(held->is_retired);
}

TEST_CASE("a draining engine gets no new request and stays known")
{
    routing::upstream_directory directory(locate);
    auto draining = engine("e1");
    directory.put(draining);
    draining.draining = true;
    directory.put(draining);
    CHECK(directory.of_service("llm").empty());
    CHECK(directory.find("e1") != nullptr);
}

// An engine restarts under the same id. The state that a host holds about it,
// including open connections, belongs to the previous process.
TEST_CASE("a new start under the same id is another engine")
{
    routing::upstream_directory directory(locate);
    directory.put(engine("e1"));
    auto const before = directory.find("e1");
    auto restarted = engine("e1");
    restarted.started = 2;
    directory.put(restarted);
    CHECK(directory.find("e1") != before);
    CHECK(before->is_retired);
    CHECK(directory.of_service("llm").size() == 1);
}

TEST_CASE("an engine that moves to another service leaves its first")
{
    routing::upstream_directory directory(locate);
    directory.put(engine("e1"));
    directory.put(engine("e1", "a", "other"));
    CHECK(directory.of_service("llm").empty());
    CHECK(directory.of_service("other").size() == 1);
}

// Guards against an upstream that is taken for another one which leaves or has
// crashed.
TEST_CASE("each start of each upstream has a key of its own")
{
    std::set<std::uint64_t> keys;
    for (int number = 0; number < 100; ++number) {
        for (std::uint64_t started = 0; started < 100; ++started) {
            routing::upstream described;
            described.id = "i-" + std::to_string(number);
            described.started = started;
            keys.insert(routing::start_key(described));
        }
    }
    CHECK(keys.size() == 10'000);
}

TEST_CASE("entries missing from a complete read are dropped")
{
    routing::upstream_directory directory(locate);
    directory.put(engine("e1"));
    directory.put(engine("e2"));
    directory.retain_only({"e2"}, start);
    CHECK(directory.find("e1") == nullptr);
    CHECK(directory.find("e2") != nullptr);
}

// Guards against requests to the engines of a data centre that the operator is
// emptying.
TEST_CASE("the upstreams of an evacuated data centre get no requests")
{
    routing::upstream_directory directory(locate);
    directory.put(engine("e1", "a"));
    directory.put(engine("e2", "b"));
    CHECK(directory.set_evacuated("b", true));
    CHECK(!directory.set_evacuated("b", true));
    // Its entries are still renewed, and an engine may join.
    directory.put(engine("e2", "b"));
    directory.put(engine("e3", "b"));
    REQUIRE(directory.of_service("llm").size() == 1);
    CHECK(directory.of_service("llm")[0]->description.id == "e1");
    CHECK(directory.reservation_order("llm").size() == 1);
    CHECK(directory.set_evacuated("b", false));
    CHECK(directory.of_service("llm").size() == 3);
    CHECK(directory.reservation_order("llm").size() == 3);
}
