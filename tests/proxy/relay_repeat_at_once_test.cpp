#include "proxy/crashing_fleet.hpp"
#include "proxy/repeat_play.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

/// Arrivals that users allow from `grace` after the third crash on.
constexpr std::size_t allowed_late_arrivals = 3;

crashing_fleet::repeated_request const booked{"/book/", guilty_body};

/// Sends `copies` of a request to as many hosts, `gap` apart, and does so
/// `rounds` times.
std::vector<first_try> repeat_at_once(crashing_fleet& site,
                                      std::size_t copies,
                                      int rounds,
                                      model::milliseconds interval,
                                      model::milliseconds gap = 0ms)
{
    std::vector<first_try> tries;
    std::size_t host = 0;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t copy = 0; copy < copies; ++copy) {
            tries.push_back(
                site.repeat(host++ % site.fleet.hosts.size(), booked));
            if (gap > 0ms) {
                site.fleet.run_for(gap);
            }
        }
        site.fleet.run_for(interval);
    }
    return tries;
}

void check_stopped(crashing_fleet const& site, std::size_t copies)
{
    CHECK(site.arrivals().size() >= std::min<std::size_t>(copies, 3));
    CHECK(site.arrivals().size() <= std::max(max_arrivals, copies + 1));
    CHECK(site.late_arrivals(grace) <= allowed_late_arrivals);
}

} // namespace

// Guards against simultaneous crashes that count as one.
TEST_CASE("a request that three hosts send at once is stopped: three engines"
          * doctest::skip())
{
    crashing_fleet site(seven_hosts, 3);
    site.crashing_bodies = {guilty_body};
    site.repair = 3s;
    auto const tries = repeat_at_once(site, 3, 4, 5'500ms);
    check_stopped(site, 3);
    CHECK(is_quarantined(tries.back()));
}

// Guards against a count that is higher for a request that was sound before.
TEST_CASE("a request that three hosts send at once is stopped: answered before"
          * doctest::skip())
{
    crashing_fleet site(seven_hosts, 3);
    site.repair = 3s;
    auto const sound = site.repeat_in_turn(booked, 7, 200ms);
    CHECK(sound.back().is_served());
    site.crashing_bodies = {guilty_body};
    repeat_at_once(site, 3, 4, 5'500ms);
    check_stopped(site, 3);
}

// Guards against a request that other crashes have made known, so that its
// answers count, before it begins to crash engines.
TEST_CASE("a request that three hosts send at once is stopped: trusted"
          * doctest::skip())
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
    repeat_at_once(site, 3, 6, 5'500ms);
    CHECK(site.arrivals().size() <= 6);
    CHECK(site.late_arrivals(grace) <= allowed_late_arrivals);
}

// Guards against copies that go to engines before another one has a result.
TEST_CASE("a request that three, then four hosts send at once is stopped"
          * doctest::skip())
{
    crashing_fleet site(seven_hosts, 8);
    site.crashing_bodies = {guilty_body};
    site.repair = 3s;
    repeat_at_once(site, 3, 1, 6'500ms);
    auto const tries = repeat_at_once(site, 4, 3, 3'500ms);
    check_stopped(site, 3);
    CHECK(is_quarantined(tries.back()));
}

TEST_CASE("a request that three hosts send at once is stopped: short repair"
          * doctest::skip())
{
    crashing_fleet site(seven_hosts, engines);
    site.crashing_bodies = {guilty_body};
    site.repair = 900ms;
    auto const tries = repeat_at_once(site, 3, 5, 2'500ms);
    check_stopped(site, 3);
    CHECK(is_quarantined(tries.back()));
}

TEST_CASE("a request that two hosts send at once is stopped" * doctest::skip())
{
    crashing_fleet site(seven_hosts, 8);
    site.crashing_bodies = {guilty_body};
    site.repair = 3s;
    auto const tries = repeat_at_once(site, 2, 5, 4s);
    check_arrivals(site);
    CHECK(is_quarantined(tries.back()));
}

TEST_CASE("a request that five hosts send at once is stopped" * doctest::skip())
{
    crashing_fleet site(seven_hosts, engines);
    site.crashing_bodies = {guilty_body};
    site.repair = 2s;
    auto const tries = repeat_at_once(site, 5, 4, 4s);
    check_stopped(site, 5);
    CHECK(is_quarantined(tries.back()));
}

// Guards against copies sent while news of the first one is on its way.
TEST_CASE("a request that hosts send shortly one after another is stopped"
          * doctest::skip())
{
    for (auto const gap : {10ms, 50ms, 200ms}) {
        CAPTURE(gap.count());
        crashing_fleet site(seven_hosts, engines);
        site.crashing_bodies = {guilty_body};
        site.repair = 2s;
        auto const tries = repeat_at_once(site, 3, 4, 4s, gap);
        check_stopped(site, 3);
        CHECK(is_quarantined(tries.back()));
    }
}

// Guards against crashes of other causes that excuse a request.
TEST_CASE("a request that two hosts send at once is stopped beside crashes")
{
    crashing_fleet site(seven_hosts, 3);
    site.crashing_bodies = {guilty_body};
    site.repair = 1s;
    for (int round = 0; round < 6; ++round) {
        for (std::size_t engine = 0; engine < 3; ++engine) {
            site.crash(engine);
        }
        site.fleet.run_for(2s);
        repeat_at_once(site, 2, 1, 3s);
    }
    CHECK(site.arrivals().size() <= 6);
    CHECK(site.late_arrivals(grace) <= allowed_late_arrivals);
}

// Guards against two such requests that excuse each other.
TEST_CASE("two requests that three hosts send at once are both stopped")
{
    for (std::size_t const count : {3, 8}) {
        CAPTURE(count);
        crashing_fleet site(seven_hosts, count);
        crashing_fleet::repeated_request const other{"/book/", "other"};
        site.crashing_bodies = {guilty_body, other.body};
        site.repair = 3s;
        for (std::size_t round = 0; round < 6; ++round) {
            for (std::size_t copy = 0; copy < 3; ++copy) {
                site.repeat((round + copy) % seven_hosts.size(), booked);
                site.repeat((round + copy + 3) % seven_hosts.size(), other);
            }
            site.fleet.run_for(5'500ms);
        }
        CHECK(site.arrivals().size() <= 2 * (max_arrivals + 2));
        CHECK(site.late_arrivals(grace) <= 2 * allowed_late_arrivals);
    }
}

// Guards against copies that hosts hold back until the first engine is up.
TEST_CASE("copies that wait for an engine do not all go to the first one"
          * doctest::skip())
{
    crashing_fleet site(seven_hosts, 3);
    site.crashing_bodies = {guilty_body};
    site.repair = 3s;
    repeat_at_once(site, 3, 1, 2'900ms);
    // No engine is up.
    repeat_at_once(site, 7, 1, 6s);
    repeat_at_once(site, 3, 2, 5'500ms);
    check_stopped(site, 3);
}

// Guards against sound requests that are refused since they were in flight,
// at two hosts each, when several engines were lost.
TEST_CASE("requests in flight at outages are served when they are repeated")
{
    crashing_fleet site(seven_hosts, engines);
    site.work = 300ms;
    site.repair = 1s;
    std::vector<first_try> tries;
    auto const send_all = [&] {
        for (std::size_t number = 0; number < 40; ++number) {
            crashing_fleet::repeated_request const sound{
                "/book/", "sound" + std::to_string(number)};
            tries.push_back(site.repeat(number % 7, sound));
            tries.push_back(site.repeat((number + 3) % 7, sound));
        }
    };
    for (std::size_t outage = 0; outage < 3; ++outage) {
        send_all();
        site.fleet.run_for(100ms);
        for (std::size_t engine = 0; engine < 4; ++engine) {
            site.crash(4 * outage + engine);
        }
        site.fleet.run_for(1'200ms);
    }
    auto const first = tries.size();
    send_all();
    site.fleet.run_for(2s);
    CHECK(std::none_of(tries.begin(), tries.end(), is_quarantined));
    CHECK(std::all_of(tries.begin() + static_cast<std::ptrdiff_t>(first),
                      tries.end(),
                      [](auto const& made) {
                          return made.is_served();
                      }));
}
