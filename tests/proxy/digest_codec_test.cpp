#include "proxy/digest_codec.hpp"

#include "proxy/digest_structs.hpp"
#include "proxy/wire_buffer.hpp"
#include "routing/carried_readings.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <vector>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

routing::peer_load load_with(routing::engine_readings const& readings,
                             std::uint64_t memory_tokens)
{
    routing::peer_load load;
    load.upstream = 7;
    load.load = {3, 1'000, 2, memory_tokens};
    load.readings = readings;
    return load;
}

/// Returns the number of the first digest that carries measurements, or that
/// carries none.
std::uint64_t sequence_with(bool carries)
{
    std::uint64_t sequence = 1;
    while (routing::carries_readings(sequence) != carries) {
        ++sequence;
    }
    return sequence;
}

routing::peer_digest read(proxy::digest_frame const& frame)
{
    auto const decoded = proxy::decode_digest(proxy::encode_digest(frame));
    REQUIRE(decoded);
    return decoded->digest;
}

void check_same(std::vector<routing::team_demand> const& read,
                std::vector<routing::team_demand> const& sent)
{
    REQUIRE(read.size() == sent.size());
    for (std::size_t at = 0; at < sent.size(); ++at) {
        CHECK(read[at].key == sent[at].key);
        CHECK(read[at].asked == sent[at].asked);
        CHECK(read[at].admitted == sent[at].admitted);
    }
}

} // namespace

TEST_CASE("readings and demands are read as they were written")
{
    proxy::digest_frame frame;
    routing::peer_digest& sent = frame.digest;
    sent.sequence = sequence_with(true);
    sent.loads = {load_with({6'400.0, 110.0, 12.0, 730.0}, 128'000)};
    sent.aggregated_loads = {load_with({}, 0),
                             load_with({64.0, 2.0, 1.0, 61.0}, 64)};
    sent.remote_loads = {load_with({640.0, 20.0, 10.0, 610.0}, 640)};
    sent.demands = {{1, 9'000.0, 8'000.0}};
    sent.aggregated_demands = {{2, 70'000.0, 0.0}, {3, 5.0, 5.0}};
    sent.remote_demands = {{4, 1.0, 1.0}};
    auto const received = read(frame);
    auto const check = [](auto const& items, auto const& expected) {
        REQUIRE(items.size() == expected.size());
        for (std::size_t at = 0; at < expected.size(); ++at) {
            routing::engine_readings const& from = expected[at].readings;
            routing::engine_readings const& to = items[at].readings;
            CHECK(to.prompt_tokens == from.prompt_tokens);
            CHECK(to.reading_ms == from.reading_ms);
            CHECK(to.event_gaps == from.event_gaps);
            CHECK(to.event_gap_ms == from.event_gap_ms);
            CHECK(items[at].load.memory_tokens
                  == expected[at].load.memory_tokens);
            CHECK(items[at].load.running == expected[at].load.running);
        }
    };
    check(received.loads, sent.loads);
    check(received.aggregated_loads, sent.aggregated_loads);
    check(received.remote_loads, sent.remote_loads);
    check_same(received.demands, sent.demands);
    check_same(received.aggregated_demands, sent.aggregated_demands);
    check_same(received.remote_demands, sent.remote_demands);
}

// Guards against engines that count as unmeasured between two digests with
// measurements, and against measurements of upstreams that are no longer told.
TEST_CASE("measurements last until the next digest that carries some")
{
    proxy::digest_frame frame;
    frame.digest.sequence = sequence_with(true);
    frame.digest.loads = {load_with({6'400.0, 110.0, 12.0, 730.0}, 128'000)};
    auto const first = read(frame);
    frame.digest.sequence = sequence_with(false);
    frame.digest.loads.push_back(load_with({640.0, 11.0, 9.0, 550.0}, 64));
    frame.digest.loads.back().upstream = 8;
    auto second = read(frame);
    CHECK(second.loads.at(0).readings.event_gaps == 0.0);
    routing::carry_readings(first, second);
    CHECK(second.loads.at(0).readings.event_gap_ms == 730.0);
    CHECK(second.loads.at(0).load.memory_tokens == 128'000);
    CHECK(second.loads.at(1).readings.event_gaps == 0.0);
    frame.digest.sequence = sequence_with(true);
    for (routing::peer_load& load : frame.digest.loads) {
        load.readings = {};
        load.load.memory_tokens = 0;
    }
    auto third = read(frame);
    routing::carry_readings(second, third);
    CHECK(third.loads.at(0).readings.event_gaps == 0.0);
}

// Guards against a rate that changes because only one of its sums is cut.
TEST_CASE("sums beyond the range of their fields keep their ratio")
{
    proxy::digest_frame frame;
    frame.digest.sequence = sequence_with(true);
    frame.digest.loads = {load_with({60e6, 1e6, 4e5, 24e6}, 1'000'000'000)};
    frame.digest.demands = {{1, 1e12, -1.0}};
    auto const received = read(frame);
    routing::peer_load const& load = received.loads.at(0);
    CHECK(load.readings.prompt_tokens / load.readings.reading_ms
          == doctest::Approx(60.0).epsilon(0.01));
    CHECK(load.readings.event_gap_ms / load.readings.event_gaps
          == doctest::Approx(60.0).epsilon(0.01));
    CHECK(load.load.memory_tokens == 65'535 * 64);
    CHECK(received.demands.at(0).asked == 4'294'967'295.0);
    CHECK(received.demands.at(0).admitted == 0.0);
}

// A host of an earlier version sends loads alone.
TEST_CASE("loads without readings, or with too few, are no measurement")
{
    routing::peer_load const load = load_with({6'400.0, 110.0, 1.0, 60.0}, 64);
    for (std::size_t const readings : {0U, 1U}) {
        flatbuffers::FlatBufferBuilder builder;
        std::vector<proxy::wire::Work> const works(2, proxy::to_wire(load));
        std::vector<proxy::wire::Reading> const list(
            readings, proxy::reading_to_wire(load));
        auto const loads = builder.CreateVectorOfStructs(works);
        auto const sums = builder.CreateVectorOfStructs(list);
        proxy::wire::DigestBuilder result(builder);
        result.add_works(loads);
        if (readings > 0) {
            result.add_readings(sums);
        }
        builder.Finish(result.Finish());
        auto const frame = proxy::decode_digest(proxy::text_of(builder));
        REQUIRE(frame);
        REQUIRE(frame->digest.loads.size() == 2);
        CHECK(frame->digest.loads[0].load.running == 3);
        CHECK(frame->digest.loads[0].readings.prompt_tokens == 0.0);
        CHECK(frame->digest.loads[0].load.memory_tokens == 0);
        CHECK(frame->digest.demands.empty());
    }
}

// The clock of a host goes back. A negative time became the longest one, or one
// that overflows, and renewed the keys of its peers.
TEST_CASE("a negative time in a digest is no long one")
{
    proxy::digest_frame frame;
    frame.digest.generation = 1;
    frame.stamp = model::time_point(1h);
    frame.echoed = frame.stamp;
    frame.echo_held = -4s;
    frame.confirmed_age = -4s;
    auto const read = proxy::decode_digest(proxy::encode_digest(frame));
    REQUIRE(read);
    CHECK(read->echo_held.count() == 0);
    CHECK(!read->confirmed_age);
    frame.echo_held = 2h;
    frame.confirmed_age = 2h;
    auto const late = proxy::decode_digest(proxy::encode_digest(frame));
    REQUIRE(late);
    // As long as the field can state; no longer than it was.
    CHECK(late->echo_held > 70min);
    CHECK(late->echo_held < 2h);
    CHECK(late->confirmed_age == 2h);
}
