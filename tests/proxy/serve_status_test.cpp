#include "net/upstream_client.hpp"
#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <optional>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

/// What a caller of `serve` would be handed of the answers to its requests.
struct call_results
{
    std::vector<int> statuses;
    std::vector<std::string> types;
    std::string body;
    std::vector<net::call_end> ends;
};

/// Makes two calls in turn, on one connection if that stays open.
call_results call_twice(std::string const& answer)
{
    runtime::event_loop loop;
    scripted_upstream engine(loop, [&answer](received const&) {
        return script{answer};
    });
    net::upstream_timeouts timeouts;
    timeouts.first_byte = 500ms;
    timeouts.progress = 500ms;
    net::upstream_client client(loop, timeouts);
    call_results got;
    for (std::size_t calls = 1; calls <= 2; ++calls) {
        net::upstream_call made;
        made.to = engine.at();
        made.path = "/ledger/x";
        net::call_hooks hooks;
        hooks.head = [&got](net::call_head const& head) {
            got.statuses.push_back(head.status);
            got.types.push_back(head.content_type);
        };
        hooks.body = [&got](std::string_view bytes) {
            got.body.append(bytes);
        };
        hooks.done = [&got](net::call_end end) {
            got.ends.push_back(end);
        };
        client.start(made, std::move(hooks));
        auto const limit = loop.now() + 3s;
        while (got.ends.size() < calls && loop.now() < limit) {
            loop.run_once();
        }
    }
    return got;
}

std::string with_status(std::string const& status, std::string const& rest)
{
    return "HTTP/1.1 " + status + " X\r\nContent-Type: type/" + status + "\r\n"
           + rest;
}

std::string const sound = with_status("200", "Content-Length: 5\r\n\r\nsound");

std::string const with_body =
    "Content-Length: " + std::to_string(sound.size()) + "\r\n\r\n" + sound;

std::vector<net::call_end> const both_broken(2, net::call_end::broken);

std::vector<std::string> const interim_statuses{"100", "102", "103", "199"};

} // namespace

// Guards against a caller of `serve` who gets an answer that no client can
// read, or the body of a broken answer as the answer to its next request.
TEST_CASE("an answer whose status is none breaks a call of serve")
{
    for (std::string const status : {"000",
                                     "001",
                                     "042",
                                     "099",
                                     "0",
                                     "7",
                                     "20",
                                     "-20",
                                     "-200",
                                     "2 0",
                                     "2x0",
                                     "101",
                                     "600",
                                     "999",
                                     "2000",
                                     "20000"}) {
        for (std::string const& rest :
             {with_body, std::string("Content-Length: 0\r\n\r\n")}) {
            CAPTURE(status);
            call_results const got = call_twice(with_status(status, rest));
            CHECK(got.ends == both_broken);
            CHECK(got.statuses.empty());
            CHECK(got.body.empty());
        }
    }
}

// Guards against an interim answer that is handed over as the answer, with the
// real one left for the next request on that connection.
TEST_CASE("a call of serve waits for the answer after interim ones")
{
    for (std::string const& status : interim_statuses) {
        CAPTURE(status);
        std::string const interim = with_status(status, "\r\n");
        call_results const got =
            call_twice(fmt::format("{0}{0}{1}", interim, sound));
        CHECK(got.ends
              == std::vector<net::call_end>(2, net::call_end::complete));
        CHECK(got.statuses == std::vector<int>{200, 200});
        CHECK(got.types == std::vector<std::string>{"type/200", "type/200"});
        CHECK(got.body == "soundsound");
    }
}

TEST_CASE("an interim answer with a body breaks a call of serve")
{
    for (std::string const& status : interim_statuses) {
        CAPTURE(status);
        std::string const chunked = with_status(
            status, "Transfer-Encoding: chunked\r\n\r\n" + chunk(sound));
        for (std::string const& answer :
             {with_status(status, with_body), chunked}) {
            call_results const got = call_twice(answer);
            CHECK(got.ends == both_broken);
            CHECK(got.statuses.empty());
            CHECK(got.body.empty());
        }
    }
}
