#include "proxy/crashing_fleet.hpp"
#include "proxy/part_crashes.hpp"
#include "proxy/part_trials.hpp"

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

// Guards against our own repeats, each of which takes one more engine.
TEST_CASE("a part that crashes engines isn't repeated from one to the next")
{
    crashing_fleet site({"a", "a", "b", "c"}, 10);
    site.crashing_parts = {"b9"};
    warm_up(site);
    load mixed;
    mixed.path = "/resume/";
    mixed.guilty = {{"a1", "b9", "c1"}};
    mixed.duration = 2'500ms;
    play(site, mixed);
    CHECK(site.crashes.size() <= max_crashes);
    CHECK(is_refused_for_parts(site.requests.back()) == false);
    CHECK(share_served(site.sound_since({})) >= min_share_served);
}

// Guards against sound requests that are refused because engines crash for
// other reasons.
TEST_CASE("crashes of other causes keep no part from engines")
{
    crashing_fleet site({"a", "a", "b", "b", "c"}, 12);
    for (std::string const& path :
         std::vector<std::string>{"/stream/", "/resume/"}) {
        load sound;
        sound.path = path;
        sound.duration = 300ms;
        for (std::size_t engine = 0; engine < 8; ++engine) {
            site.crash(engine);
            play(site, sound);
        }
        // A zone is lost.
        for (std::size_t engine = 0; engine < 6; ++engine) {
            site.crash(engine);
        }
        play(site, sound);
    }
    for (auto const& request : site.requests) {
        CHECK_FALSE(is_refused_for_parts(request));
    }
    for (auto const& host : site.fleet.hosts) {
        CHECK(host->context.parts.verdicts().empty());
    }
}

// Guards against connections that break, and answers that are cut, at engines
// that live on.
TEST_CASE("engines that break answers off and live on accuse no part")
{
    crashing_fleet site({"a", "b"}, 6);
    site.crashing_parts = {"b9"};
    site.crashes_engines = false;
    load mixed;
    mixed.path = "/resume/";
    mixed.guilty = {{"a1", "b9", "c1"}};
    mixed.duration = 2'000ms;
    play(site, mixed);
    for (auto const& host : site.fleet.hosts) {
        CHECK(host->context.parts.verdicts().empty());
    }
}

// Guards against crashes that are seen through another host alone.
TEST_CASE("crashes at requests that go through another host count")
{
    crashing_fleet site({"a", "a", "a"}, 10);
    site.crashing_parts = {"b9"};
    site.fleet.set_links(0, path_state::resetting);
    warm_up(site);
    site.only_host = 0;
    load mixed;
    mixed.guilty = {{"a1", "b9", "c1"}};
    mixed.duration = 3'000ms;
    play(site, mixed);
    CHECK(site.guilty_runs() <= max_crashes);
    CHECK(refused(site.sound_since({})) == 0);
}

TEST_CASE("two parts that crash engines at the same time are both kept back")
{
    crashing_fleet site({"a", "a", "b", "b"}, 12);
    site.crashing_parts = {"b9", "c9"};
    warm_up(site);
    load mixed;
    mixed.guilty = {{"a1", "b9", "c1"}, {"a1", "b1", "c9"}, {"a2", "b2", "c9"}};
    mixed.guilty_gap = 120ms;
    play(site, mixed);
    CHECK(site.crashes.size() <= 2 * max_crashes);
    CHECK(site.guilty_runs_since(site.crashes.front() + 2s) <= max_late_runs);
    CHECK(refused(site.sound_since({})) == 0);
}

// Guards against a host that starts and tries for itself what others know.
TEST_CASE("a host that starts asks which parts are kept from engines")
{
    crashing_fleet site({"a", "b", "b"}, 10);
    site.crashing_parts = {"b9"};
    warm_up(site);
    load mixed;
    mixed.guilty = {{"a1", "b9", "c1"}};
    mixed.duration = 1'500ms;
    play(site, mixed);
    std::size_t const runs = site.guilty_runs();
    CHECK(runs <= max_crashes);
    site.add_host("a");
    site.fleet.run_for(400ms);
    site.only_host = site.fleet.hosts.size() - 1;
    play(site, mixed);
    CHECK(site.guilty_runs() == runs);
    CHECK(site.sound_since({}).size() > 100);
    CHECK(is_refused_for_parts(site.requests.back()) == false);
}

// Guards against callers who wait for an answer that can't come.
TEST_CASE("a request that is kept back is told so at once, and has not run")
{
    crashing_fleet site({"a"}, 6);
    site.crashing_parts = {"b9"};
    load mixed;
    mixed.guilty = {{"a1", "b9"}};
    mixed.duration = 1'500ms;
    play(site, mixed);
    site.send("/stream/", {"a1", "b9", "c1"});
    site.fleet.run_for(100ms);
    auto const& last = site.requests.back();
    CHECK(last.made.says_not_run());
    CHECK(last.made.caller->received_bytes.find("part_kept_back")
          != std::string::npos);
    CHECK(last.made.caller->received_bytes.find("Retry-After: ")
          != std::string::npos);
    CHECK(site.fleet.runs_of(last.made.id) == 0);
}

// Guards against a trial that goes to an engine which has just crashed, gives
// no evidence, and holds up the next one.
TEST_CASE("a trial at an engine that is down already is over at once")
{
    relay_fixture fixture;
    fixture.add("i-1", "ledger", [](received const&) {
        return script{valid_answer("done")};
    });
    auto const upstream = fixture.context.directory.find("i-1");
    proxy::broken_upstream& crashed =
        fixture.context
            .broken_upstreams[routing::start_key(upstream->description)];
    crashed.has_crashed = true;
    crashed.crash.at = fixture.loop.now();
    std::vector<routing::shared_part> const parts{{1, 5}};
    proxy::begin_trial(fixture.context, parts, *upstream);
    proxy::record_broken_attempt(
        fixture.context,
        {upstream, std::nullopt, parts, parts, fixture.loop.now()});
    CHECK_FALSE(fixture.context.parts.has_evidence());
    CHECK(fixture.context.parts.judge(parts, 1, true, fixture.loop.now())
          == routing::part_judgement::trial);
}
