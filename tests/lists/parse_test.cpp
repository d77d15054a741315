#include "lists/check.hpp"
#include "lists/parse.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;

TEST_CASE("a misspelt field is a fault with its path and a remedy")
{
    std::vector<lists::fault> faults;
    lists::parse_plans(
        R"({"tiers": [{"name": "top", "rnak": 0}]})", "plans.json", faults);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].file == "plans.json");
    CHECK(faults[0].path == "/tiers/0/rnak");
    CHECK(faults[0].remedy == "correct its spelling or remove it");
}

TEST_CASE("all faults of a list are reported at once")
{
    std::vector<lists::fault> faults;
    auto const plans = lists::parse_plans(
        R"({"tiers": [{"name": "top", "guaranteed_share": 2}],
            "classes": [{"name": "a b", "tier": "top"}],
            "plans": [{"name": "gold", "classes": 3}]})",
        "plans.json",
        faults);
    CHECK(faults.size() == 3);
}

TEST_CASE("a reference to an undefined name is a fault")
{
    lists::plan_list plans;
    plans.tiers.push_back({"top", 0, 0.5});
    lists::service_class draft;
    draft.name = "draft";
    draft.tier = "middle";
    plans.classes.push_back(draft);
    auto const faults = lists::check(plans, {});
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].path == "/classes/0/tier");
}
