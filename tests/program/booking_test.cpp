#include "site.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace caperjunction;
using nlohmann::json;

namespace {

std::shared_ptr<tests::answer> book(tests::site& site, std::string const& key)
{
    auto answer = site.call("/services/ledger/reserve",
                            R"({"case":1})",
                            {{"Idempotency-Key", key}});
    REQUIRE(site.wait(answer));
    return answer;
}

std::string outcome_of(tests::answer const& answer)
{
    return json::parse(answer.body)["error"]["outcome"];
}

} // namespace

TEST_CASE("a booking runs once and its caller gets the service's answer")
{
    tests::site site;
    auto const answer = book(site, "order-1");
    CHECK(answer->status == 200);
    CHECK(json::parse(answer->body)["execution"] == 1);
    CHECK(site.service->executions().at("order-1") == 1);
}

// The service executes the booking and crashes before it answers. If the host
// dispatches the booking again, the customer is charged twice. The same happens
// if the host reports `not-run`, because the caller then resends it.
TEST_CASE("a booking whose answer is lost is unknown and is not run again")
{
    tests::site site;
    site.service->crash_after(true);
    auto const answer = book(site, "order-2");
    CHECK(answer->status >= 500);
    CHECK(outcome_of(*answer) == "unknown");
    CHECK(site.service->executions().at("order-2") == 1);
}

// No instance of the service is reachable. Nothing was sent, so the caller may
// resend the booking immediately.
TEST_CASE("a booking that reached no service is reported as not run")
{
    tests::site site;
    site.service.reset();
    auto const answer = book(site, "order-3");
    CHECK(answer->status >= 500);
    CHECK(outcome_of(*answer) == "not-run");
}
