#include "decide/router.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;

TEST_CASE("a request for a model that no engine serves is not run")
{
    decide::router router({"host-1", "west", "west-a", 1});
    decide::request request;
    request.id = {1};
    request.model = "draft";
    std::vector<decide::decision> out;
    router.handle(decide::request_arrived{request}, {}, out);
    REQUIRE(out.size() == 1);
    auto const& refused = std::get<decide::refuse>(out[0]);
    CHECK(refused.outcome == model::outcome::not_run);
    CHECK_FALSE(refused.remedy.empty());
}
