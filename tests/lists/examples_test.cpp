#include "lists/catalogue.hpp"
#include "lists/check.hpp"
#include "lists/check_deployment.hpp"
#include "lists/parse.hpp"
#include "lists/parse_hosts.hpp"
#include "lists/parse_upstreams.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace caperjunction;

namespace {

std::string read_example(std::string const& file)
{
    std::ifstream source(std::string(SOURCE_ROOT) + "/examples/" + file);
    std::stringstream text;
    text << source.rdbuf();
    return text.str();
}

struct example
{
    explicit example(std::string const& folder)
        : plans(lists::parse_plans(
            read_example(folder + "/plans.json"), "plans.json", faults))
        , entitlements(lists::parse_entitlements(
              read_example(folder + "/entitlements.json"),
              "entitlements.json",
              faults))
        , hosts(lists::parse_hosts(
              read_example(folder + "/hosts.json"), "hosts.json", faults))
        , upstreams(
              lists::parse_upstreams(read_example(folder + "/upstreams.json"),
                                     "upstreams.json",
                                     faults))
    {
    }

    std::size_t teams() const
    {
        std::size_t count = 0;
        for (lists::customer const& owner : plans.customers) {
            count += owner.teams.size();
        }
        return count;
    }

    std::vector<lists::fault> faults;
    lists::plan_list plans;
    lists::entitlement_list entitlements;
    model::host_list hosts;
    model::upstream_list upstreams;
};

void check_faultless(example const& shown)
{
    CHECK(shown.faults.empty());
    CHECK(lists::check(shown.plans, shown.entitlements).empty());
    CHECK(lists::check_deployment(
              shown.entitlements, shown.hosts, shown.upstreams)
              .empty());
}

void check_size(example const& shown, std::size_t engines)
{
    CHECK(shown.hosts.members.size() == 7);
    CHECK(shown.upstreams.engines.size() == engines);
    CHECK(shown.upstreams.services.size() == 3);
    CHECK(shown.teams() == 10);
}

/// The keys in a README's table: the last column, between backticks.
std::vector<std::string> shown_keys(std::string const& folder)
{
    std::vector<std::string> keys;
    std::istringstream text(read_example(folder + "/README.md"));
    for (std::string line; std::getline(text, line);) {
        auto const end = line.rfind("` |");
        if (line.compare(0, 2, "| ") == 0 && end != std::string::npos
            && end + 3 == line.size()) {
            auto const begin = line.rfind('`', end - 1) + 1;
            std::string const key = line.substr(begin, end - begin);
            if (key.find('.') != std::string::npos) {
                keys.push_back(key);
            }
        }
    }
    return keys;
}

} // namespace

TEST_CASE("the example of Kitanomine is without faults and of its size")
{
    example const shown("kitanomine");
    check_faultless(shown);
    check_size(shown, 12);
}

TEST_CASE("the example of Gangasagar is without faults and of its size")
{
    example const shown("gangasagar");
    check_faultless(shown);
    check_size(shown, 9);
}

TEST_CASE("every key that an example shows opens its team and no other")
{
    for (char const* const folder : {"kitanomine", "gangasagar"}) {
        example shown(folder);
        lists::catalogue const catalogue(shown.plans, shown.entitlements);
        auto const keys = shown_keys(folder);
        std::size_t opened = 0;
        for (std::string const& key : keys) {
            lists::identity const holder = catalogue.identify(key);
            CAPTURE(key);
            REQUIRE(holder.team != nullptr);
            CHECK(holder.team->name + "-1" == key.substr(0, key.find('.')));
            CHECK(holder.plan != nullptr);
            CHECK(holder.entitlement != nullptr);
            CHECK(catalogue.identify(key + "x").team == nullptr);
            ++opened;
        }
        CHECK(opened == 10);
    }
}
