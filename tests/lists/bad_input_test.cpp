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

std::string const valid_salt(16, 'a');
std::string const valid_hash(64, 'b');

} // namespace

// A text merge leaves a field in an object twice. JSON parsers differ on which
// of the two values they use, so that the value in effect could differ from the
// one that the operator sees.
TEST_CASE("a duplicate field is a fault with the field's path")
{
    auto const faults = plan_faults(
        R"({"tiers": [{"name": "a"}, {"name": "b", "rank": 0, "rank": 1}]})");
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].path == "/tiers/1/rank");
    CHECK(faults[0].message == "is a duplicate");
}

// A list generator writes an invalid number, such as an infinite share. If
// applied, one tier's share would displace the shares of all other tiers.
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

// A list is truncated in transfer or is no list at all. The router must report
// the fault and keep the lists in effect.
TEST_CASE("a text that is not a list is a fault and not a crash")
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

// Unlimited nesting would exhaust the parser's memory or stack.
TEST_CASE("deep nesting is one fault")
{
    std::string const opening = std::string(200'000, '[');
    std::string const nested = opening + std::string(200'000, ']');
    REQUIRE(plan_faults(nested).size() == 1);
    CHECK(plan_faults(nested)[0].message == "is nested too deeply");
}

// A hash truncated by copy and paste would lock its team out without a message;
// a key in plain text would be visible to all readers of the list.
TEST_CASE("a key entry that cannot match any key is a fault")
{
    CHECK(plan_faults(key_with("k", valid_salt, valid_hash)).empty());
    CHECK(plan_faults(key_with("k", "", valid_hash)).size() == 1);
    CHECK(plan_faults(key_with("k", "abc", valid_hash)).size() == 1);
    CHECK(plan_faults(key_with("k", valid_salt, "b")).size() == 1);
    CHECK(plan_faults(key_with("k", valid_salt, std::string(64, 'B'))).size()
          == 1);
    CHECK(plan_faults(key_with("a.b", valid_salt, valid_hash)).size() == 1);
}

// Names from lists are written to log lines. A line break in a name would allow
// an entry to forge a line.
TEST_CASE("no fault contains a control character or a very long name")
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

TEST_CASE("the number of faults kept for one list is bounded")
{
    std::string text = "{";
    for (int index = 0; index < 2000; ++index) {
        text += "\"f" + std::to_string(index) + "\": 1,";
    }
    text.back() = '}';
    CHECK(plan_faults(text).size() == 500);
}

TEST_CASE("a service call needs a supported method and an absolute path")
{
    CHECK(entitlement_faults(R"({"services": [{"name": "s", "calls": [
        {"method": "FETCH", "path_prefix": "entries"}]}]})")
              .size()
          == 2);
}

TEST_CASE("a second entitlement for the same plan is a fault")
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

// The home region of a service is misspelt. Claims would have no host that
// stores them, and every booking would be refused.
TEST_CASE("the offline check reports entries that the platform does not list")
{
    lists::entitlement_list entitlements;
    entitlements.models.push_back({"m", 100});
    entitlements.services.push_back({"booking", "kolkatta", {}});
    model::host_list hosts;
    model::host host;
    host.region = "kolkata";
    hosts.members.push_back(host);
    auto const faults = lists::check_deployment(entitlements, hosts, {});
    REQUIRE(faults.size() == 3);
    CHECK(faults[0].path == "/models/0/name");
    CHECK(faults[1].path == "/services/0/name");
    CHECK(faults[2].path == "/services/0/home_region");
}

TEST_CASE("a host needs a numeric address, a port and a unique name")
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

TEST_CASE("any text is parsed or rejected")
{
    CHECK(rc::check("no text crashes the parser", [] {
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
