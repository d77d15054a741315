#include "lists/check.hpp"
#include "lists/check_deployment.hpp"
#include "lists/parse.hpp"
#include "lists/parse_hosts.hpp"
#include "lists/parse_upstreams.hpp"
#include "model/limits.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace caperjunction;

namespace {

std::vector<lists::fault> plan_faults(std::string const& text)
{
    std::vector<lists::fault> faults;
    lists::parse_plans(text, "plans.json", faults);
    return faults;
}

std::vector<lists::fault> entitlement_faults(std::string const& text)
{
    std::vector<lists::fault> faults;
    lists::parse_entitlements(text, "entitlements.json", faults);
    return faults;
}

std::string class_with(std::string const& field, std::string const& value)
{
    return R"({"classes": [{"name": "a", "tier": "t", ")" + field + R"(": )"
           + value + "}]}";
}

std::string key_with(std::string const& id,
                     std::string const& salt,
                     std::string const& hash)
{
    return R"({"customers": [{"name": "c", "teams": [{"name": "t", "plan": "p",
        "keys": [{"id": ")"
           + id + R"(", "salt": ")" + salt + R"(", "sha256": ")" + hash
           + R"("}]}]}]})";
}

std::string const good_salt(16, 'a');
std::string const good_hash(64, 'b');

} // namespace

// An editor's merge leaves a field in an object twice. Programs differ on
// which of the two they take; the operator would see one and get the other.
TEST_CASE("a field given twice is a fault at its place")
{
    auto const faults = plan_faults(
        R"({"tiers": [{"name": "a"}, {"name": "b", "rank": 0, "rank": 1}]})");
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].path == "/tiers/1/rank");
    CHECK(faults[0].message == "is given twice");
}

// A generator of lists writes a broken number, such as an infinite share. In
// force, it would make one tier's share swallow all others'.
TEST_CASE("numbers out of range are faults")
{
    for (char const* const share :
         {"-0.1", "1.1", "1e300", "\"0.5\"", "null"}) {
        CAPTURE(share);
        CHECK(plan_faults(class_with("promised_attainment", share)).size()
              == 1);
    }
    for (char const* const count :
         {"-1", "0", "1.5", "4294967296", "1e9", "true"}) {
        CAPTURE(count);
        CHECK(plan_faults(class_with("max_output_tokens", count)).size() == 1);
    }
    CHECK(plan_faults(class_with("max_wait_ms", "86400001")).size() == 1);
    CHECK(plan_faults(class_with("promised_attainment", "1e999")).size() == 1);
    CHECK(plan_faults(class_with("promised_attainment", "NaN")).size() == 1);
}

// A list is cut off in transfer, or is no list at all. The router must say so
// and keep what is in force.
TEST_CASE("what is not a list is a fault and not a crash")
{
    for (char const* const text :
         {"", "{", "null", "[]", "3", "{\"tiers\": {}}", "\xff\xfe"}) {
        CAPTURE(text);
        CHECK(plan_faults(text).size() == 1);
        CHECK(entitlement_faults(text).size() == 1);
    }
    std::string const large(model::limits::max_list_bytes + 1, ' ');
    REQUIRE(plan_faults(large).size() == 1);
    CHECK(plan_faults(large)[0].message == "is larger than 1 MiB");
}

// Brackets without end would use up a parser's memory or stack.
TEST_CASE("deep nesting is one fault")
{
    std::string const half = std::string(200'000, '[');
    std::string const deep = half + std::string(200'000, ']');
    REQUIRE(plan_faults(deep).size() == 1);
    CHECK(plan_faults(deep)[0].message == "is nested too deeply");
}

// A key in clear, or a hash cut short by a paste, would lock its team out
// without a word, or show the key to every reader of the list.
TEST_CASE("a key entry that cannot match any key is a fault")
{
    CHECK(plan_faults(key_with("k", good_salt, good_hash)).empty());
    CHECK(plan_faults(key_with("k", "", good_hash)).size() == 1);
    CHECK(plan_faults(key_with("k", "abc", good_hash)).size() == 1);
    CHECK(plan_faults(key_with("k", good_salt, "b")).size() == 1);
    CHECK(plan_faults(key_with("k", good_salt, std::string(64, 'B'))).size()
          == 1);
    CHECK(plan_faults(key_with("a.b", good_salt, good_hash)).size() == 1);
}

// Names from lists end up in log lines; a line break in one would let an
// entry forge a line.
TEST_CASE("no fault carries a control character or a very long name")
{
    auto const faults = plan_faults("{\"a\\nevent=forged\": 1, \""
                                    + std::string(5000, 'x') + "\": 2}");
    REQUIRE(faults.size() == 2);
    for (lists::fault const& item : faults) {
        CHECK(item.path.find('\n') == std::string::npos);
        CHECK(item.path.find('=') == std::string::npos);
        CHECK(item.path.size() <= model::limits::max_name_length + 1);
    }
}

TEST_CASE("a list of nothing but faults keeps a bounded number of them")
{
    std::string text = "{";
    for (int place = 0; place < 2000; ++place) {
        text += "\"f" + std::to_string(place) + "\": 1,";
    }
    text.back() = '}';
    CHECK(plan_faults(text).size() == 500);
}

TEST_CASE("a call of a service needs a known method and an absolute path")
{
    CHECK(entitlement_faults(R"({"services": [{"name": "s", "calls": [
        {"method": "FETCH", "path_prefix": "entries"}]}]})")
              .size()
          == 2);
}

TEST_CASE("an entitlement given twice for a plan is a fault")
{
    lists::plan_list plans;
    plans.tiers.push_back({"top", 0, 0.5});
    lists::service_class work;
    work.name = "work";
    work.tier = "top";
    plans.classes.push_back(work);
    plans.plans.push_back({"gold", {"work"}, {}});
    lists::entitlement_list entitlements;
    entitlements.entitlements = {{"gold", {}, {}}, {"gold", {}, {}}};
    auto const faults = lists::check(plans, entitlements);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].path == "/entitlements/1/plan");
}

// The home region of a service is misspelt. Its claims would have no host to
// be kept at, and every booking would be refused.
TEST_CASE("the offline check tells what the platform does not list")
{
    lists::entitlement_list entitlements;
    entitlements.models.push_back({"m", 100});
    entitlements.services.push_back({"booking", "kolkatta", {}});
    model::host_list hosts;
    model::host only;
    only.region = "kolkata";
    hosts.members.push_back(only);
    auto const faults = lists::check_deployment(entitlements, hosts, {});
    REQUIRE(faults.size() == 3);
    CHECK(faults[0].path == "/models/0/name");
    CHECK(faults[1].path == "/services/0/name");
    CHECK(faults[2].path == "/services/0/home_region");
}

TEST_CASE("a host needs a numeric address, a port and a name of its own")
{
    std::vector<lists::fault> faults;
    lists::parse_hosts(R"({"hosts": [
        {"name": "a", "region": "r", "data_centre": "d",
         "callers": {"address": "host.example", "port": 0},
         "peers": {"address": "fd00::1", "port": 70000}},
        {"name": "a", "region": "r", "data_centre": "d",
         "callers": {"address": "10.0.0.1", "port": 1}}]})",
                       "hosts",
                       faults);
    REQUIRE(faults.size() == 5);
    CHECK(faults[0].path == "/hosts/0/callers/address");
    CHECK(faults[1].path == "/hosts/0/callers/port");
    CHECK(faults[2].path == "/hosts/0/peers/port");
    CHECK(faults[3].path == "/hosts/1/peers");
    CHECK(faults[4].path == "/hosts/1/name");
}

TEST_CASE("an engine needs a known role")
{
    std::vector<lists::fault> faults;
    auto const found = lists::parse_upstreams(R"({"engines": [
        {"name": "e", "region": "r", "data_centre": "d", "role": "decode",
         "address": {"address": "10.0.0.1", "port": 1}, "models": ["m"]},
        {"name": "f", "region": "r", "data_centre": "d", "role": "idle",
         "address": {"address": "10.0.0.1", "port": 1}}]})",
                                              "upstreams",
                                              faults);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].path == "/engines/1/role");
    CHECK(found.engines[0].role == model::engine_role::decode);
}

TEST_CASE("any text at all is parsed or refused")
{
    CHECK(rc::check("no text makes the parser fail", [] {
        auto const text = *rc::gen::container<std::string>(
            rc::gen::elementOf(std::string("{}[]\",:0123456789.eE-+ntrufals\\ "
                                           "abc\n\xc3\xa9")));
        std::vector<lists::fault> faults;
        lists::parse_plans(text, "plans", faults);
        for (lists::fault const& item : faults) {
            RC_ASSERT(!item.remedy.empty());
        }
    }));
}
