#include "net/platform_reader.hpp"
#include "net/upstream_client.hpp"
#include "proxy/allocated_bytes.hpp"
#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

constexpr std::size_t max_growth = 24'000'000;

std::string const chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

script endless(std::string const& begin, std::string const& bytes)
{
    script plan{begin};
    plan.endless = bytes;
    return plan;
}

} // namespace

// Guards against a host of `serve` that fills its memory with the head or the
// size of a chunk that an engine sends without end.
TEST_CASE("an engine's bytes without end break a call of serve")
{
    std::string const bytes(4'096, '0');
    for (script const& plan :
         {endless("HTTP/1.1 200 OK\r\nX: ", bytes), endless(chunked, bytes)}) {
        runtime::event_loop loop;
        scripted_upstream engine(loop, [plan](received const&) {
            return plan;
        });
        net::upstream_timeouts timeouts;
        timeouts.first_byte = 1'000ms;
        timeouts.progress = 1'000ms;
        net::upstream_client client(loop, timeouts);
        std::optional<net::call_end> ended;
        net::upstream_call call;
        call.to = engine.at();
        call.path = "/v1/load";
        net::call_hooks hooks;
        hooks.done = [&ended](net::call_end end) {
            ended = end;
        };
        std::size_t const before = allocated_bytes();
        std::size_t most = before;
        client.start(call, std::move(hooks));
        auto const limit = loop.now() + 4s;
        while ((!ended || engine.connections_ended == 0)
               && loop.now() < limit) {
            loop.run_once();
            most = std::max(most, allocated_bytes());
        }
        CHECK(ended == net::call_end::broken);
        CHECK(engine.connections_ended == 1);
        CHECK(most < before + max_growth);
    }
}

// Guards against lists that stay as they are forever: the call for the next one
// never ends.
TEST_CASE("a published value without end ends its read")
{
    runtime::event_loop loop;
    scripted_upstream platform(loop, [](received const&) {
        return endless(chunked, chunk(std::string(4'096, 'x')));
    });
    net::platform_reader reader(loop, platform.at(), 200ms);
    bool has_ended = false;
    reader.ended.connect([&has_ended](auto const&, model::time_point) {
        has_ended = true;
    });
    reader.read(fleet::published_value::plans);
    auto const limit = loop.now() + 4s;
    while ((!has_ended || platform.connections_ended == 0)
           && loop.now() < limit) {
        loop.run_once();
    }
    CHECK(has_ended);
    CHECK(platform.connections_ended == 1);
}
