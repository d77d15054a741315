#include "proxy/crashing_fleet.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

/// Crashes of engines until a part is kept from them.
constexpr std::size_t max_crashes = 5;
/// Requests with it that may still be sent, from `grace` after these on.
constexpr std::size_t max_late_runs = 3;
constexpr model::milliseconds grace{1'000};

constexpr double min_share_served = 0.95;

/// The prompts of sound requests: each shares all of its parts but one with
/// requests that crash engines.
std::vector<shared_parts> const sound_prompts{
    {"a1", "b1", "c1"}, {"a2", "b1", "c1"}, {"a1", "b2", "c1"}, {"a1", "b1"}};

struct load
{
    std::string path = "/stream/";
    std::vector<shared_parts> guilty;
    model::milliseconds guilty_gap{200};
    model::milliseconds sound_gap{20};
    model::milliseconds duration{4'000};
};

void play(crashing_fleet& site, load const& given)
{
    auto const until = site.fleet.loop.now() + given.duration;
    auto next_guilty = site.fleet.loop.now();
    for (std::size_t number = 0; site.fleet.loop.now() < until; ++number) {
        site.send(given.path, sound_prompts[number % sound_prompts.size()]);
        if (!given.guilty.empty() && site.fleet.loop.now() >= next_guilty) {
            next_guilty += given.guilty_gap;
            site.send(given.path, given.guilty[number % given.guilty.size()]);
        }
        site.fleet.run_for(given.sound_gap);
    }
    site.fleet.run_for(400ms);
}

/// Plays sound requests alone, so that hosts have seen their parts answered.
void warm_up(crashing_fleet& site)
{
    load sound;
    sound.duration = 700ms;
    play(site, sound);
}

} // namespace

// Guards against engines that crash one after the other, at requests of which
// no two are alike.
TEST_CASE("a part that crashes engines is kept from them")
{
    struct place
    {
        std::string part;
        shared_parts prompt;
    };

    for (place const& guilty : std::vector<place>{{"a9", {"a9", "b1", "c1"}},
                                                  {"b9", {"a1", "b9", "c1"}},
                                                  {"c9", {"a1", "b1", "c9"}}}) {
        CAPTURE(guilty.part);
        crashing_fleet site({"a", "a", "a", "b", "b", "c", "c"}, 10);
        site.crashing_parts = {guilty.part};
        warm_up(site);
        load mixed;
        mixed.guilty = {guilty.prompt};
        play(site, mixed);
        CHECK(site.crashes.size() <= max_crashes);
        if (site.crashes.size() >= max_crashes) {
            auto const fifth = site.crashes[max_crashes - 1];
            CHECK(site.guilty_runs_since(fifth + grace) <= max_late_runs);
        }
        auto const sound = site.sound_since(site.crashes.back() + grace);
        CHECK(share_served(sound) >= min_share_served);
        CHECK(refused(site.sound_since({})) == 0);
    }
}
