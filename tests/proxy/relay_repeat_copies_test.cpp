#include "proxy/copies_play.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

TEST_CASE("a request that five hosts send at once is stopped")
{
    crashing_fleet site(seven_hosts, engines);
    site.crashing_bodies = {guilty_body};
    site.repair = 2s;
    auto const tries = repeat_at_once(site, 5, 3, 4s);
    check_stopped(site, 5);
    CHECK(is_quarantined(tries.back()));
}

// Guards against copies sent while news of the first one is on its way.
TEST_CASE("a request that hosts send shortly one after another is stopped")
{
    for (auto const gap : {10ms, 50ms, 200ms}) {
        CAPTURE(gap.count());
        crashing_fleet site(seven_hosts, engines);
        site.crashing_bodies = {guilty_body};
        site.repair = 2s;
        auto const tries = repeat_at_once(site, 3, 3, 4s, gap);
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
    check_ends(site, 6);
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
        site.fleet.place_apart();
        for (std::size_t round = 0; round < 4; ++round) {
            for (std::size_t copy = 0; copy < 3; ++copy) {
                std::size_t const first = (round + copy) % 7;
                std::size_t const second = (round + copy + 3) % 7;
                site.repeat(first, booked);
                site.repeat(second, other);
            }
            site.fleet.run_for(5'500ms);
        }
        CHECK(site.arrivals().size() <= 2 * (max_arrivals + 2));
        CHECK(site.arrivals_after_third_end(grace)
              <= 2 * allowed_late_arrivals);
    }
}

// Guards against copies that hosts hold back until the first engine is up.
TEST_CASE("copies that wait for an engine do not all go to the first one")
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

// Guards against requests that are refused, or wait, because a data centre that
// was lost took many of them, whose callers repeat them at once.
TEST_CASE("requests in flight at a lost data centre are served at once")
{
    crashing_fleet site(seven_hosts, engines);
    site.work = 200ms;
    site.repair = 3s;

    struct caller
    {
        crashing_fleet::repeated_request request;
        std::size_t host = 0;
        first_try made;
        int repeats = 0;
    };

    std::vector<caller> callers;
    for (std::size_t number = 0; number < 200; ++number) {
        caller next{{"/book/", "sound" + std::to_string(number)}, number % 7};
        next.made = site.repeat(next.host, next.request);
        callers.push_back(next);
    }
    site.fleet.run_for(60ms);
    auto const lost_at = site.fleet.loop.now();
    for (std::size_t engine = 0; engine < engines; engine += 3) {
        site.crash(engine);
    }
    std::size_t refused = 0;
    while (site.fleet.loop.now() - lost_at < 2s) {
        site.fleet.run_for(5ms);
        for (caller& item : callers) {
            bool const has_answer = !item.made.caller->received_bytes.empty();
            if (!has_answer || item.made.is_served()) {
                continue;
            }
            refused += is_quarantined(item.made)
                               || item.made.caller->received_bytes.find(
                                      "part_on_trial")
                                      != std::string::npos
                           ? 1
                           : 0;
            item.host = (item.host + 1) % seven_hosts.size();
            item.made = site.repeat(item.host, item.request);
            ++item.repeats;
        }
    }
    auto const repeated =
        std::count_if(callers.begin(), callers.end(), [](caller const& item) {
            return item.repeats > 0;
        });
    CHECK(repeated >= 20);
    CHECK(refused == 0);
    CHECK(std::all_of(callers.begin(), callers.end(), [](caller const& item) {
        return item.made.is_served();
    }));
}

// Guards against a page that is refused since its requests were in flight, and
// were repeated, beside copies of one that crashes engines.
TEST_CASE("a page that all look at is served beside copies sent at once")
{
    crashing_fleet site(seven_hosts, engines);
    site.crashing_bodies = {guilty_body};
    site.work = 300ms;
    site.repair = 1s;
    site.fleet.place_apart();
    std::vector<first_try> pages;
    std::size_t host = 0;
    for (int step = 0; step < 250; ++step) {
        pages.push_back(site.repeat(step % 7, {"/view/", "page"}));
        for (std::size_t copy = 0; step % 50 == 10 && copy < 3; ++copy) {
            site.repeat(host++ % 7, {"/view/", guilty_body});
        }
        site.fleet.run_for(40ms);
    }
    site.fleet.run_for(500ms);
    CHECK(std::count_if(pages.begin(), pages.end(), is_quarantined) == 0);
    check_ends(site, 8);
}
