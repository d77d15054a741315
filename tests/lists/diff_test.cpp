#include "lists/diff.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using lists::change_kind;

namespace {

lists::plan_list make_plans()
{
    lists::plan_list plans;
    plans.tiers = {{"top", 0, 0.5}, {"low", 1, 0.1}};
    plans.plans = {{"gold", {"work"}, {}}};
    plans.customers = {{"c", {{"otaru", "gold", {{"k", "salt", "hash"}}}}}};
    return plans;
}

} // namespace

TEST_CASE("a list does not differ from a copy with another revision")
{
    auto later = make_plans();
    later.revision = 7;
    CHECK(lists::diff(make_plans(), later).empty());
}

TEST_CASE("each added, removed or altered entry is reported once")
{
    auto const before = make_plans();
    auto after = before;
    after.tiers[0].guaranteed_share = 0.4;
    after.tiers[1].name = "lowest";
    after.customers[0].teams[0].keys[0].sha256 = "other";
    std::vector<lists::change> const expected{
        {change_kind::removed, "tiers/low"},
        {change_kind::altered, "tiers/top"},
        {change_kind::added, "tiers/lowest"},
        {change_kind::altered, "teams/c/otaru"}};
    CHECK(lists::diff(before, after) == expected);
}

TEST_CASE("a call that is no longer repeatable alters its service")
{
    lists::entitlement_list before;
    before.services = {{"booking", "", {{"POST", "/entries", true}}}};
    before.entitlements = {{"gold", {}, {}}};
    auto after = before;
    after.services[0].calls[0].repeatable = false;
    after.entitlements[0].services.emplace_back("booking");
    std::vector<lists::change> const expected{
        {change_kind::altered, "services/booking"},
        {change_kind::altered, "entitlements/gold"}};
    CHECK(lists::diff(before, after) == expected);
}
