#include "routing/load_change_detector.hpp"

#include "routing/support.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using namespace caperjunction::test;
using routing::load_change_detector;
using routing::peer_load;

namespace {

std::vector<peer_load> loads(std::uint32_t running,
                             std::uint64_t pending_tokens)
{
    return {{1, {running, pending_tokens, 0}, {}}, {2, {3, 0, 0}, {}}};
}

} // namespace

TEST_CASE("a growing queue is a significant change, one more request is not")
{
    load_change_detector detector;
    detector.record_advertised(loads(2, 1'000), start);
    CHECK(!detector.has_significant_change(loads(3, 2'000), start + 1s));
    CHECK(detector.has_significant_change(loads(3, 6'000), start + 1s));
    CHECK(detector.has_significant_change(loads(9, 1'000), start + 1s));
}

// The end of a burst is significant too: otherwise hosts in other data centres
// would continue to avoid an engine that is free.
TEST_CASE("a shrinking queue is a significant change")
{
    load_change_detector detector;
    detector.record_advertised({{1, {2, 9'000, 0}, {}}, {2, {1, 0, 0}, {}}},
                               start);
    CHECK(detector.has_significant_change(
        {{1, {2, 0, 0}, {}}, {2, {1, 0, 0}, {}}}, start + 1s));
    detector.record_advertised({{1, {1, 0, 0}, {}},
                                {2, {1, 0, 0}, {}},
                                {3, {1, 0, 0}, {}},
                                {4, {1, 0, 0}, {}}},
                               start);
    CHECK(detector.has_significant_change({}, start + 1s));
}

TEST_CASE("changes are advertised at a bounded rate")
{
    load_change_detector detector;
    detector.record_advertised(loads(2, 1'000), start);
    CHECK(!detector.has_significant_change(loads(50, 90'000), start + 100ms));
    CHECK(detector.has_significant_change(loads(50, 90'000), start + 200ms));
}
