#include "model/answer_status.hpp"
#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

/// Statuses that are none: too few or too many digits, signs, out of range,
/// another protocol that no request asks for.
std::vector<std::string> const invalid_statuses{"000",
                                                "001",
                                                "042",
                                                "099",
                                                "0",
                                                "7",
                                                "20",
                                                "-20",
                                                "-200",
                                                "+200",
                                                "2 0",
                                                "2x0",
                                                "101",
                                                "600",
                                                "999",
                                                "2000",
                                                "20000",
                                                "4294967496"};

std::vector<std::string> const interim_statuses{"100", "102", "103", "199"};

std::string with_status(std::string const& status, std::string const& rest)
{
    return "HTTP/1.1 " + status + " X\r\nAttempt-Id: @ID@\r\n" + rest;
}

std::string sealed(std::string const& status, std::string const& body)
{
    return with_status(status,
                       "Response-Seal: s1\r\nContent-Length: "
                           + std::to_string(body.size()) + "\r\n\r\n" + body);
}

/// Returns what a caller gets of an engine's answer, up to its end.
std::string answer_for(std::string const& path, script const& answer)
{
    relay_fixture fixture;
    fixture.add("i-1", "ledger", [&answer](received const&) {
        return answer;
    });
    auto const caller = fixture.send(relay_fixture::request(path));
    REQUIRE(fixture.run_until([&fixture] {
        return !fixture.outcomes.empty();
    }));
    fixture.run_for(5ms);
    return caller->received_bytes;
}

} // namespace

TEST_CASE("a status is interim, final or invalid")
{
    using model::answer_status;
    for (int const status : {100, 102, 103, 199}) {
        CHECK(model::answer_status_of(status) == answer_status::interim);
    }
    for (int const status : {200, 204, 304, 404, 503, 599}) {
        CHECK(model::answer_status_of(status) == answer_status::final);
    }
    for (int const status : {-200, 0, 1, 20, 99, 101, 600, 999, 2'000}) {
        CHECK(model::answer_status_of(status) == answer_status::invalid);
    }
}

// Guards against a caller who gets the body of a broken answer as the answer:
// the body of an engine in trouble may be the text of another one.
TEST_CASE("an answer whose status is none becomes a 502")
{
    for (std::string const& status : invalid_statuses) {
        for (std::string const body : {"plain text", "@@"}) {
            std::string const text =
                body == "@@" ? sealed("200", "stolen") : body;
            for (std::string const path : {"/book/", "/view/", "/stream/"}) {
                CAPTURE(status);
                CAPTURE(body);
                CAPTURE(path);
                std::string const got =
                    answer_for(path, {sealed(status, text)});
                CHECK(got.find("HTTP/1.1 502") == 0);
                CHECK(got.find("HTTP/1.1", 1) == std::string::npos);
                CHECK(got.find("stolen") == std::string::npos);
            }
        }
    }
}

// Guards against the same where the status is sound and its body isn't: an
// interim answer has none.
TEST_CASE("an interim answer with a body becomes a 502")
{
    std::string const text = sealed("200", "stolen");
    for (std::string const& status : interim_statuses) {
        CAPTURE(status);
        std::string const chunked = with_status(
            status, "Transfer-Encoding: chunked\r\n\r\n" + chunk(text));
        for (std::string const& answer : {sealed(status, text), chunked}) {
            std::string const got = answer_for("/view/", {answer});
            CHECK(got.find("HTTP/1.1 502") == 0);
            CHECK(got.find("stolen") == std::string::npos);
        }
    }
}

TEST_CASE("interim answers are followed by the answer")
{
    for (std::string const& status : interim_statuses) {
        std::string const before = with_status(status, "\r\n");
        std::string const got =
            answer_for("/view/", {before + before + sealed("200", "sound")});
        CHECK(got.find("HTTP/1.1 200") == 0);
        CHECK(got.find("sound") != std::string::npos);
    }
}

TEST_CASE("other statuses of engines reach the caller unchanged")
{
    for (std::string const status : {"200", "299", "302", "404", "599"}) {
        CAPTURE(status);
        std::string const got = answer_for("/book/", {sealed(status, "sound")});
        CHECK(got.find("HTTP/1.1 " + status) == 0);
        CHECK(got.find("sound") != std::string::npos);
    }
}
