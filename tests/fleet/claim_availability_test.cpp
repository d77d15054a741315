#include "bench/claims_explorer/availability.hpp"

#include <doctest/doctest.h>

using namespace caperjunction::claims_explorer;

TEST_CASE("a planned replacement of every host refuses no booking")
{
    // Seven hosts are replaced one after another. With one owner per key and no
    // hand-over, most bookings are refused for hours.
    auto const results = measure_availability(1, "rolling");
    REQUIRE(results.size() == 3);
    CHECK(results[0].count.ran == results[0].count.asked);
    CHECK(results[2].count.ran < results[2].count.asked / 2);
}

TEST_CASE("the loss of the largest data centre refuses no booking")
{
    // Three of seven hosts crash together. With one owner per key, a third of
    // the keys lose it.
    auto const results = measure_availability(1, "data centre");
    REQUIRE(results.size() == 3);
    CHECK(results[0].count.ran == results[0].count.asked);
    CHECK(results[1].count.ran < results[1].count.asked);
}
