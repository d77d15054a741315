#include "net/upstream_client.hpp"
#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

/// What a caller of `serve` would be handed of an answer.
struct call_result
{
    std::optional<net::call_end> end;
    bool has_head = false;
};

call_result call(script const& answer)
{
    runtime::event_loop loop;
    scripted_upstream engine(loop, [&answer](received const&) {
        return answer;
    });
    net::upstream_timeouts timeouts;
    timeouts.first_byte = 1'000ms;
    timeouts.progress = 1'000ms;
    net::upstream_client client(loop, timeouts);
    net::upstream_call made;
    made.to = engine.at();
    made.path = "/v1/chat/completions";
    call_result result;
    net::call_hooks hooks;
    hooks.head = [&result](net::call_head const&) {
        result.has_head = true;
    };
    hooks.done = [&result](net::call_end end) {
        result.end = end;
    };
    client.start(made, std::move(hooks));
    auto const limit = loop.now() + 4s;
    while (!result.end && loop.now() < limit) {
        loop.run_once();
    }
    return result;
}

} // namespace

// Guards against an answer of `serve` that is taken for whole although its
// engine stopped in the middle of the head.
TEST_CASE("a head that is broken off breaks a call of serve")
{
    std::string const status =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
    for (std::string const& framing : {std::string("Content-Length: 4\r\n"),
                                       std::string("Content-Length: 0\r\n"),
                                       std::string("Transfer-Encoding: "
                                                   "chunked\r\n"),
                                       std::string()}) {
        std::string const head = status + framing + "\r\n";
        for (std::size_t bytes = 1; bytes < head.size(); ++bytes) {
            for (bool const resets : {false, true}) {
                script broken{head.substr(0, bytes)};
                broken.closes = !resets;
                broken.resets = resets;
                CAPTURE(framing);
                CAPTURE(bytes);
                CAPTURE(resets);
                call_result const got = call(broken);
                CHECK(got.end == net::call_end::broken);
                CHECK_FALSE(got.has_head);
            }
        }
        script whole{head};
        whole.closes = true;
        CHECK(call(whole).has_head);
    }
}

// Guards against a body that is taken for whole although its end is missing.
TEST_CASE("a body that is broken off breaks a call of serve")
{
    for (std::string const answer :
         {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo",
          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
          "chunked\r\n\r\n4\r\ndone\r\n"}) {
        script broken{answer};
        broken.closes = true;
        CAPTURE(answer);
        CHECK(call(broken).end == net::call_end::broken);
    }
}
