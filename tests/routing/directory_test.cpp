#include "routing/crash_suspects.hpp"
#include "routing/support.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using namespace caperjunction::test;

// The store is away for longer than its leases last. When it comes back it
// removes all entries before their engines have written again, and a host
// that believed it would refuse every request for seconds.
TEST_CASE("entries that lapse while the store was away are kept for a while")
{
    routing::upstream_directory directory(measure);
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

TEST_CASE("an entry that is removed while all is calm is gone at once")
{
    routing::upstream_directory directory(measure);
    directory.put(engine("e1"));
    auto const held = directory.find("e1");
    directory.remove("e1", start);
    CHECK(directory.of_service("llm").empty());
    CHECK(held->is_retired);
}

TEST_CASE("a draining engine gets no new request and stays known")
{
    routing::upstream_directory directory(measure);
    auto leaving = engine("e1");
    directory.put(leaving);
    leaving.draining = true;
    directory.put(leaving);
    CHECK(directory.of_service("llm").empty());
    CHECK(directory.find("e1") != nullptr);
}

// An engine starts anew under the id that it had. What a host remembers of
// it, down to open connections, belongs to the one before.
TEST_CASE("a new start under the same id is another engine")
{
    routing::upstream_directory directory(measure);
    directory.put(engine("e1"));
    auto const before = directory.find("e1");
    auto again = engine("e1");
    again.started = 2;
    directory.put(again);
    CHECK(directory.find("e1") != before);
    CHECK(before->is_retired);
    CHECK(directory.of_service("llm").size() == 1);
}

TEST_CASE("an engine that moves to another service leaves its first")
{
    routing::upstream_directory directory(measure);
    directory.put(engine("e1"));
    directory.put(engine("e1", "a", "other"));
    CHECK(directory.of_service("llm").empty());
    CHECK(directory.of_service("other").size() == 1);
}

TEST_CASE("what a whole read lacks is missing")
{
    routing::upstream_directory directory(measure);
    directory.put(engine("e1"));
    directory.put(engine("e2"));
    directory.retain_only({"e2"}, start);
    CHECK(directory.find("e1") == nullptr);
    CHECK(directory.find("e2") != nullptr);
}

// One request breaks each engine that runs it and its caller sends it again.
// Each try costs all streams of another engine.
TEST_CASE("what is there at three breaks is suspect, and success clears it")
{
    routing::crash_suspects suspects;
    suspects.record_crash(1, start);
    suspects.record_crash(1, start + 1s);
    suspects.record_crash(2, start + 1s);
    suspects.record_crash(1, start + 2s);
    CHECK(suspects.crashes_of(1, start + 3s)
          >= routing::crash_suspects::max_crashes);
    CHECK(suspects.crashes_of(2, start + 3s)
          < routing::crash_suspects::max_crashes);
    CHECK(suspects.suspects_to_send(1, start + 3s)[0].fingerprint == 1);
    suspects.record_success(2);
    CHECK(suspects.crashes_of(2, start + 3s) == 0);
    CHECK(suspects.crashes_of(1, start + 10min) == 0);
}
