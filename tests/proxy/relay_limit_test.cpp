#include "proxy/limit_notices.hpp"
#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>

#include <limits>
#include <memory>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

/// An answer of an upstream in need, or of one that no longer is.
script answer_naming(std::string const& limit)
{
    return {
        sound("done", limit.empty() ? "" : "Server-Limit: " + limit + "\r\n")};
}

/// Sends one request after the other for `time`.
void keep_sending(relay_fixture& site, model::milliseconds time)
{
    int number = 0;
    std::vector<std::shared_ptr<plain_client>> callers;
    auto const until = site.loop.now() + time;
    while (site.loop.now() < until) {
        callers.push_back(site.send(
            relay_fixture::request("/view/", "k" + std::to_string(++number))));
        site.run_for(20ms);
    }
}

} // namespace

// Requests went to an upstream in need as before, and it got four times what
// it had said that it takes.
TEST_CASE("an upstream that names a limit gets no more than that")
{
    relay_fixture site;
    auto& limited = site.add("i-1", "ledger", [](received const&) {
        return answer_naming("1.5");
    });
    auto& sound_one = site.add("i-2", "ledger", [](received const&) {
        return answer_naming("");
    });
    keep_sending(site, 2s);
    // Two of the first, and at 1.2 a second from then on.
    CHECK(limited.requests.size() <= 5);
    CHECK(sound_one.requests.size() > 40);
    CHECK(site.outcomes.size() > 40);
    for (std::string const& outcome : site.outcomes) {
        CHECK(outcome == "served");
    }
}

// Left alone for good, an upstream that has recovered would be a server lost.
TEST_CASE("an upstream gets requests again when it names no limit any more")
{
    relay_fixture site;
    bool in_need = true;
    auto& one = site.add("i-1", "ledger", [&in_need](received const&) {
        return answer_naming(in_need ? "5" : "");
    });
    site.add("i-2", "ledger", [](received const&) {
        script busy;
        busy.rest = sound("done");
        busy.pause = 200ms;
        return busy;
    });
    keep_sending(site, 600ms);
    auto const while_limited = one.requests.size();
    CHECK(while_limited <= 5);
    in_need = false;
    keep_sending(site, 900ms);
    CHECK(one.requests.size() > while_limited + 10);
}

// A caller that is told "not run" comes back when there is room.
TEST_CASE("where all upstreams are limited callers are told when to come back")
{
    relay_fixture site;
    auto& only = site.add("i-1", "ledger", [](received const&) {
        return answer_naming("1");
    });
    auto const first = site.send(relay_fixture::request("/view/", "a1"));
    REQUIRE(site.run_until([&] {
        return site.outcomes.size() == 1;
    }));
    auto const second = site.send(relay_fixture::request("/book/", "a2"));
    REQUIRE(site.run_until([&] {
        return !second->got.empty();
    }));
    CHECK(second->got.find("503") != std::string::npos);
    CHECK(second->got.find("Retry-After") != std::string::npos);
    CHECK(site.reports.back().reason == "limited");
    CHECK(site.reports.back().limited == 1);
    CHECK(only.requests.size() == 1);
}

TEST_CASE("a limit that can't be read changes nothing")
{
    CHECK(proxy::parse_request_limit("1.8") == 1.8);
    CHECK(proxy::parse_request_limit("0") == 0.0);
    CHECK(proxy::parse_request_limit("12") == 12.0);
    CHECK(proxy::parse_request_limit("1e400")
          == std::numeric_limits<double>::max());
    for (char const* const bad :
         {"", "-1", "nan", "inf", "many", "1.5x", "1,5", " "}) {
        CAPTURE(bad);
        CHECK(!proxy::parse_request_limit(bad));
    }

    relay_fixture site;
    auto& one = site.add("i-1", "ledger", [](received const&) {
        return answer_naming("many");
    });
    keep_sending(site, 400ms);
    CHECK(one.requests.size() > 10);
}

// A second try is a request too.
TEST_CASE("a retry keeps to the limit as well")
{
    relay_fixture site;
    auto& limited = site.add("i-1", "ledger", [](received const&) {
        return answer_naming("0.5");
    });
    site.add("i-2", "ledger", [](received const&) {
        return script{"", false, true};
    });
    keep_sending(site, 1s);
    CHECK(limited.requests.size() <= 3);
}
