#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

/// An upstream with four slots whose requests take 300 ms.
script slow_answer(received const& request, std::string const& limit)
{
    constexpr std::string_view id_mark = "@ID@";
    script result;
    result.remainder = valid_answer(
        "done", limit.empty() ? "" : "Server-Brittle: " + limit + "\r\n");
    result.remainder.replace(result.remainder.find(id_mark),
                             id_mark.size(),
                             *request.head.find("Attempt-Id"));
    result.delay = 300ms;
    return result;
}

/// Sends requests at the same time and returns the callers when all have an
/// answer.
std::vector<std::shared_ptr<plain_client>> send_at_once(relay_fixture& fixture,
                                                        std::size_t count)
{
    std::vector<std::shared_ptr<plain_client>> callers;
    for (std::size_t index = 0; index < count; ++index) {
        callers.push_back(fixture.send(relay_fixture::request(
            "/book/", "b" + std::to_string(fixture.outcomes.size() + index))));
    }
    std::size_t const ended = fixture.outcomes.size() + count;
    CHECK(fixture.run_until([&fixture, ended] {
        return fixture.outcomes.size() >= ended;
    }));
    fixture.run_for(20ms);
    return callers;
}

std::size_t served(std::vector<std::shared_ptr<plain_client>> const& callers)
{
    return static_cast<std::size_t>(
        std::count_if(callers.begin(), callers.end(), [](auto const& item) {
            return item->received_bytes.rfind("HTTP/1.1 200", 0) == 0;
        }));
}

} // namespace

// Guards against an upstream that bears few rejections being sent more than it
// has slots for.
TEST_CASE("an upstream with a limit of rejections gets what it has slots for")
{
    relay_fixture fixture;
    std::string limit = "2";
    auto& upstream =
        fixture.add("i-1", "ledger", [&limit](received const& request) {
            return slow_answer(request, limit);
        });
    CHECK(served(send_at_once(fixture, 1)) == 1);
    auto const callers = send_at_once(fixture, 10);
    CHECK(upstream.requests.size() <= 1 + 4);
    CHECK(served(callers) == upstream.requests.size() - 1);
    for (auto const& caller : callers) {
        std::string const& text = caller->received_bytes;
        bool const is_refused = text.rfind("HTTP/1.1 503", 0) == 0;
        CHECK((is_refused || text.rfind("HTTP/1.1 200", 0) == 0));
        CHECK(is_refused
              == (text.find("Retry-After: 0.100") != std::string::npos));
    }
    // It says so no longer.
    limit.clear();
    CHECK(served(send_at_once(fixture, 1)) == 1);
    CHECK(served(send_at_once(fixture, 10)) == 10);
}

// Guards against one engine being treated with care and the next one crashed.
TEST_CASE("a limit of rejections holds for all upstreams of the service")
{
    relay_fixture fixture;
    fixture.add("i-1", "ledger", [](received const& request) {
        return slow_answer(request, "2");
    });
    CHECK(served(send_at_once(fixture, 1)) == 1);
    auto& other = fixture.add("i-2", "ledger", [](received const& request) {
        return slow_answer(request, "2");
    });
    CHECK(served(send_at_once(fixture, 1)) == 1);
    auto const before = other.requests.size();
    send_at_once(fixture, 20);
    CHECK(other.requests.size() - before <= 4);
}
