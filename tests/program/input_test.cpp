#include "site.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>

using namespace caperjunction;
using nlohmann::json;

namespace {

constexpr char const* chat_path = "/v1/chat/completions";

struct bad_input
{
    char const* what;
    char const* path;
    std::string body;
    int status;
};

void check_error(tests::answer const& answer, int status)
{
    CHECK(answer.status == status);
    json const body = json::parse(answer.body, nullptr, false);
    REQUIRE(body.is_object());
    CHECK(body["error"]["outcome"] == "not-run");
    CHECK_FALSE(body["error"]["remedy"].get<std::string>().empty());
}

} // namespace

TEST_CASE("invalid input gets a typed error, and valid requests still succeed")
{
    tests::site_options options;
    options.max_body_bytes = 10'000;
    tests::site site(options);
    std::string const messages =
        R"("messages":[{"role":"user","content":"hi"}])";
    std::vector<bad_input> const inputs{
        {"garbage", chat_path, "{{{", 400},
        {"no object", chat_path, "[1]", 400},
        {"deep nesting", chat_path, std::string(5000, '['), 400},
        {"no model", chat_path, "{" + messages + "}", 400},
        {"unknown model",
         chat_path,
         R"({"model":"nobody",)" + messages + "}",
         404},
        {"no messages", chat_path, R"({"model":"drafter"})", 400},
        {"message without role",
         chat_path,
         R"({"model":"drafter","messages":[{"content":"hi"}]})",
         400},
        {"stream is a word",
         chat_path,
         R"({"model":"drafter","stream":"yes",)" + messages + "}",
         400},
        {"negative bound",
         chat_path,
         R"({"model":"drafter","max_tokens":-4,)" + messages + "}",
         400},
        {"GET", chat_path, "", 400},
        {"too long", chat_path, std::string(15'000, ' '), 413},
        {"unknown path", "/v2/chat", "{}", 404},
        {"unknown service", "/services/nobody/x", "{}", 404},
        {"no service", "/services/", "{}", 404},
        {"booking without key", "/services/ledger/reserve", "{}", 400},
        {"class that the plan lacks is refused by name below",
         "/services/ledger/unlisted",
         "{}",
         400},
    };
    for (bad_input const& input : inputs) {
        CAPTURE(input.what);
        auto const answer = site.call(input.path, input.body);
        REQUIRE(site.wait(answer));
        check_error(*answer, input.status);
    }
    auto const good = site.chat("hello", 3, false);
    REQUIRE(site.wait(good));
    CHECK(good->status == 200);
}

TEST_CASE("wrong keys, classes and plans are refused")
{
    tests::site site;
    std::string const body =
        R"({"model":"drafter","messages":[{"role":"user","content":"x"}]})";
    auto const wrong_key =
        site.call(chat_path, body, {{"Authorization", "Bearer desk.wrong"}});
    REQUIRE(site.wait(wrong_key));
    check_error(*wrong_key, 401);
    auto const other_plan =
        site.call(chat_path, body, {{"Authorization", "Bearer poor.secret"}});
    REQUIRE(site.wait(other_plan));
    check_error(*other_plan, 403);
    auto const other_class =
        site.call(chat_path, body, {{"caperjunction-class", "royal"}});
    REQUIRE(site.wait(other_class));
    check_error(*other_class, 403);
}

// An operator publishes a list with an error. If it is applied, or if the
// previous one is discarded, every caller is refused until it is corrected.
TEST_CASE("an invalid list is not applied; the last valid one stays in force")
{
    tests::site site;
    site.platform->publish("plans", R"({"tiers":"all of them"})");
    REQUIRE(site.run_until([&] {
        return site.metrics.text().find("accepted=\"false\"")
               != std::string::npos;
    }));
    auto const answer = site.chat("hello", 3, false);
    REQUIRE(site.wait(answer));
    CHECK(answer->status == 200);
}

TEST_CASE("the models that the plan includes are listed")
{
    tests::site site;
    auto const answer = site.call("/v1/models", "");
    REQUIRE(site.wait(answer));
    CHECK(json::parse(answer->body)["data"][0]["id"] == "drafter");
}

TEST_CASE("the admin server serves a request's trail and the host's status")
{
    tests::site site;
    auto const answer = site.chat("hello", 3, true);
    REQUIRE(site.wait(answer));
    CHECK(site.admin("/readyz") == "ready\n");
    CHECK(json::parse(site.admin("/status"))["host"] == "host-1");
    CHECK(site.metrics.text().find(
              R"(caperjunction_targets_total{class="questions",met="true"} 1)")
          != std::string::npos);
    CHECK(json::parse(site.admin("/explain?id=zz")).contains("error"));
    CHECK(json::parse(site.admin("/explain?id=1234")).contains("error"));
}
