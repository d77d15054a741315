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

void check_no_faults(example const& loaded)
{
    CHECK(loaded.faults.empty());
    CHECK(lists::check(loaded.plans, loaded.entitlements).empty());
    CHECK(lists::check_deployment(
              loaded.entitlements, loaded.hosts, loaded.upstreams)
              .empty());
}

void check_size(example const& loaded, std::size_t engines)
{
    CHECK(loaded.hosts.members.size() == 7);
    CHECK(loaded.upstreams.engines.size() == engines);
    CHECK(loaded.upstreams.services.size() == 3);
    CHECK(loaded.teams() == 10);
}

/// Returns the keys in a README's table: last column, between backticks.
std::vector<std::string> documented_keys(std::string const& folder)
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

TEST_CASE("the Kitanomine example has no faults and the expected size")
{
    example const loaded("kitanomine");
    check_no_faults(loaded);
    check_size(loaded, 12);
}

TEST_CASE("the Gangasagar example has no faults and the expected size")
{
    example const loaded("gangasagar");
    check_no_faults(loaded);
    check_size(loaded, 9);
}

TEST_CASE("every key in an example identifies its team and no other")
{
    for (char const* const folder : {"kitanomine", "gangasagar"}) {
        example loaded(folder);
        lists::catalogue const catalogue(loaded.plans, loaded.entitlements);
        auto const keys = documented_keys(folder);
        std::size_t identified = 0;
        for (std::string const& key : keys) {
            lists::identity const holder = catalogue.identify(key);
            CAPTURE(key);
            REQUIRE(holder.team != nullptr);
            CHECK(holder.team->name + "-1" == key.substr(0, key.find('.')));
            CHECK(holder.plan != nullptr);
            CHECK(holder.entitlement != nullptr);
            CHECK(catalogue.identify(key + "x").team == nullptr);
            ++identified;
        }
        CHECK(identified == 10);
    }
}
