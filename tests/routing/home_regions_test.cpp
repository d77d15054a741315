#include "routing/admission.hpp"
#include "routing/support.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace caperjunction;
using namespace caperjunction::test;
using routing::request_kind;

namespace {

/// Engines in the regions west (data centres a and b) and east (c), and a route
/// and a team of which each may be restricted.
struct restricted_site
{
    routing::upstream_directory directory{locate};
    routing::picker picker{directory};
    routing::configuration config;
    routing::key_lease lease{5'000ms};

    restricted_site()
    {
        for (int number = 0; number < 12; ++number) {
            directory.put(
                engine("e" + std::to_string(number),
                       std::string(1, static_cast<char>('a' + number % 3))));
        }
        config.routes = {make_route("/chat/", request_kind::stream)};
        config.teams = {{"desk", {"secret"}, {}}};
        lease.renew(start);
    }

    /// Returns the regions that get requests with many different prompts.
    std::set<std::string> used_regions()
    {
        routing::route_table const table(config);
        auto const admitted = routing::admit(
            &table, lease, {"desk.example", "/chat/x", "secret", start});
        REQUIRE(!admitted.refused);
        std::set<std::string> used;
        for (std::uint64_t subject = 1; subject <= 60; ++subject) {
            routing::prompt prompt;
            prompt.parts = {{subject, 4'000}, {999, 500}};
            prompt.tokens = 4'500;
            routing::pick_request request;
            request.route = admitted.route;
            request.prompt = &prompt;
            request.service = "llm";
            request.homes = &admitted.homes;
            auto const chosen = picker.choose(request, start);
            if (chosen.to) {
                used.insert(chosen.to->where.region);
            }
        }
        return used;
    }
};

} // namespace

TEST_CASE("requests without home regions are served in all regions")
{
    restricted_site site;
    CHECK(site.used_regions() == std::set<std::string>{"west", "east"});
}

// Guards against a prompt that leaves the regions in which its team or its
// route allows it to be stored.
TEST_CASE("a request is served only in the home regions of route and team")
{
    restricted_site site;
    site.config.routes[0].home_regions = {"east"};
    CHECK(site.used_regions() == std::set<std::string>{"east"});
    site.config.routes[0].home_regions = {"west", "east"};
    site.config.teams[0].home_regions = {"west"};
    CHECK(site.used_regions() == std::set<std::string>{"west"});
}

// Guards against a route and a team without a common region being served
// anywhere.
TEST_CASE("a request without a common home region goes nowhere")
{
    restricted_site site;
    site.config.routes[0].home_regions = {"west"};
    site.config.teams[0].home_regions = {"east"};
    CHECK(site.used_regions().empty());
}

// Guards against a data centre that the settings do not name being taken for a
// home.
TEST_CASE("an upstream in an unknown region is no home")
{
    routing::home_regions homes;
    CHECK(homes.allows(""));
    homes.restrict_to({"west"});
    CHECK(!homes.allows(""));
}
