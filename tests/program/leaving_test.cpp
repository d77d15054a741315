#include "site.hpp"
#include "stand_ins/site_lists.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>

using namespace caperjunction;

namespace {

/// Returns the site's upstreams, with the first engine marked as leaving.
std::string first_engine_leaves(tests::site const& site)
{
    auto listed = nlohmann::json::parse(stand_ins::site_upstreams(
        {{"engine-0", site.engines[0]->address(), {}},
         {"engine-1", site.engines[1]->address(), {}}},
        {{"ledger-1", site.service->address(), {}}}));
    listed["engines"][0]["leaving"] = true;
    return listed.dump();
}

} // namespace

// The platform removes an engine for an upgrade. Its running requests must
// complete and it must get no new ones, or callers are cut off when it stops.
TEST_CASE("a leaving engine completes its requests and gets no new ones")
{
    tests::site_options options;
    options.tokens_per_second = 100.0;
    tests::site site(options);
    constexpr std::size_t streams = 8;
    std::vector<std::shared_ptr<tests::answer>> running;
    running.reserve(streams);
    while (running.size() < streams) {
        running.push_back(site.chat("long", 60, true));
    }
    auto const& leaving = *site.engines[0];
    REQUIRE(site.run_until([&leaving] {
        return leaving.counters().begun > 0;
    }));
    site.platform->publish("upstreams", first_engine_leaves(site));
    REQUIRE(site.run_until([&site] {
        auto const status = nlohmann::json::parse(site.admin("/status"));
        return status["revisions"]["upstreams"] == 2;
    }));
    std::uint64_t const begun = leaving.counters().begun;
    for (int call = 0; call < 20; ++call) {
        auto const answer = site.chat("short", 2, true);
        REQUIRE(site.wait(answer));
        CHECK(answer->status == 200);
    }
    CHECK(leaving.counters().begun == begun);
    for (auto const& answer : running) {
        REQUIRE(site.wait(answer));
        CHECK(answer->body.find("data: [DONE]") != std::string::npos);
    }
}
