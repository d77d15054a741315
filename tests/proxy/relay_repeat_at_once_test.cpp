#include "proxy/copies_play.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

// Guards against simultaneous crashes that count as one.
TEST_CASE("a request that three hosts send at once is stopped: three engines")
{
    crashing_fleet site(seven_hosts, 3);
    site.crashing_bodies = {guilty_body};
    site.repair = 3s;
    auto const tries = repeat_at_once(site, 3, 3, 5'500ms);
    check_stopped(site, 3);
    CHECK(is_quarantined(tries.back()));
}

// Guards against a count that is higher for a request that was sound before.
TEST_CASE("a request that three hosts send at once is stopped: answered before")
{
    crashing_fleet site(seven_hosts, 3);
    site.repair = 3s;
    auto const sound = site.repeat_in_turn(booked, 7, 200ms);
    CHECK(sound.back().is_served());
    site.crashing_bodies = {guilty_body};
    repeat_at_once(site, 3, 3, 5'500ms);
    check_stopped(site, 3);
}

// Guards against a request that other crashes have made known, so that its
// answers count, before it begins to crash engines.
TEST_CASE("a request that three hosts send at once is stopped: trusted")
{
    crashing_fleet site(seven_hosts, 8);
    site.repair = 3s;
    site.work = 300ms;
    site.repeat(0, booked);
    site.fleet.run_for(100ms);
    for (std::size_t engine = 0; engine < 8; ++engine) {
        site.crash(engine);
    }
    site.fleet.run_for(4s);
    auto const sound = site.repeat_in_turn(booked, 3, 500ms);
    CHECK(sound.back().is_served());
    site.crashing_bodies = {guilty_body};
    repeat_at_once(site, 3, 5, 5'500ms);
    CHECK(site.arrivals().size() <= 6);
    check_ends(site, 6);
}

// Guards against copies that go to engines before another one has a result.
TEST_CASE("a request that three, then four hosts send at once is stopped")
{
    crashing_fleet site(seven_hosts, 8);
    site.crashing_bodies = {guilty_body};
    site.repair = 3s;
    repeat_at_once(site, 3, 1, 6'500ms);
    auto const tries = repeat_at_once(site, 4, 2, 3'500ms);
    check_stopped(site, 3);
    CHECK(is_quarantined(tries.back()));
}

TEST_CASE("a request that three hosts send at once is stopped: short repair")
{
    crashing_fleet site(seven_hosts, engines);
    site.crashing_bodies = {guilty_body};
    site.repair = 900ms;
    auto const tries = repeat_at_once(site, 3, 3, 2'500ms);
    check_stopped(site, 3);
    CHECK(is_quarantined(tries.back()));
}

// Guards against copies at one engine that count as one, again and again.
TEST_CASE("a request that three hosts send to one engine at once is stopped")
{
    crashing_fleet site(seven_hosts, engines);
    site.crashing_bodies = {guilty_body};
    site.repair = 900ms;
    std::vector<first_try> tries;
    for (std::size_t number = 0; number < 15; ++number) {
        tries.push_back(site.repeat(number % seven_hosts.size(), booked));
        site.fleet.run_for(number % 3 == 2 ? 2'500ms : 0ms);
    }
    check_ends(site, max_arrivals);
    CHECK(is_quarantined(tries.back()));
}

// Guards against groups of copies after crashes that excuse them.
TEST_CASE("a request sent by two, three and two hosts at once is stopped")
{
    crashing_fleet site(seven_hosts, 3);
    site.crashing_bodies = {guilty_body};
    site.repair = 3s;
    for (std::size_t engine = 0; engine < 3; ++engine) {
        site.crash(engine);
    }
    site.fleet.run_for(4s);
    repeat_at_once(site, 2, 1, 5'500ms);
    repeat_at_once(site, 3, 1, 5'500ms);
    repeat_at_once(site, 2, 2, 5'500ms);
    check_ends(site, 6);
}

TEST_CASE("a request that two hosts send at once is stopped")
{
    crashing_fleet site(seven_hosts, 8);
    site.crashing_bodies = {guilty_body};
    site.repair = 3s;
    auto const tries = repeat_at_once(site, 2, 4, 4s);
    check_arrivals(site);
    CHECK(is_quarantined(tries.back()));
}
