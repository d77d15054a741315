#include "program/peer_fetcher.hpp"

#include "proxy/list_codec.hpp"
#include "proxy/scripted_upstream.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <string>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

std::string some_list()
{
    proxy::item_list list;
    list.revision = 7;
    list.items.push_back({"k", std::string(300, 'v'), 7, false});
    return proxy::encode_items(list);
}

/// A host that asks another, which answers in pieces.
struct asking
{
    asking(std::size_t piece_bytes, model::milliseconds between)
        : piece(piece_bytes)
        , pause(between)
    {
    }

    runtime::event_loop loop;
    std::size_t piece;
    model::milliseconds pause;
    test::scripted_upstream peer{loop, [this](test::received const&) {
                                     std::string const body = some_list();
                                     test::script play;
                                     play.rest = fmt::format(
                                         "HTTP/1.1 200 OK\r\nContent-Length: "
                                         "{}\r\nConnection: close\r\n\r\n{}",
                                         body.size(),
                                         body);
                                     play.pause = pause;
                                     play.piece = piece;
                                     return play;
                                 }};
    std::optional<std::uint64_t> taken;
    std::string outcome;
    program::peer_fetcher fetcher{
        loop,
        {[this](std::string_view, std::string const& body) {
             taken = proxy::decode_items(body)->revision;
             return true;
         },
         [this](program::fetch_report const& ended) {
             outcome = ended.outcome;
         }}};

    void run(model::milliseconds longest)
    {
        fetcher.ask(peer.at(), program::upstreams_path, 0);
        auto const limit = loop.now() + longest;
        while (outcome.empty() && loop.now() < limit) {
            loop.run_once();
        }
    }
};

} // namespace

// Twelve hosts ask one on a narrow link. Each of their lists takes longer than
// one alone; dropped for that, all begin anew and none ever has it.
TEST_CASE("a list of another host that keeps coming is not given up")
{
    asking host(60, 400ms);
    host.run(6s);
    CHECK(host.outcome == "taken");
    CHECK(host.taken == 7);
}

// A host that froze midway would otherwise never be left for another.
TEST_CASE("a list of another host that stops midway is given up")
{
    asking host(300, 2s);
    host.run(3s);
    CHECK(host.outcome == "silent");
    CHECK(!host.taken);
}
