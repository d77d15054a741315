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

/// A host that fetches a list from a peer, which answers in pieces.
struct fetching_host
{
    fetching_host(std::size_t piece_bytes, model::milliseconds between)
        : piece_size(piece_bytes)
        , delay(between)
    {
    }

    runtime::event_loop loop;
    std::size_t piece_size;
    model::milliseconds delay;
    test::scripted_upstream peer{loop, [this](test::received const&) {
                                     std::string const body = some_list();
                                     test::script plan;
                                     plan.remainder = fmt::format(
                                         "HTTP/1.1 200 OK\r\nContent-Length: "
                                         "{}\r\nConnection: close\r\n\r\n{}",
                                         body.size(),
                                         body);
                                     plan.delay = delay;
                                     plan.piece_bytes = piece_size;
                                     return plan;
                                 }};
    std::optional<std::uint64_t> received_revision;
    std::string outcome;
    program::peer_fetcher fetcher{
        loop,
        {[this](std::string_view, std::string const& body) {
             received_revision = proxy::decode_items(body)->revision.revision;
             return true;
         },
         [this](program::fetch_report const& ended) {
             outcome = ended.outcome;
         }}};

    void run(model::milliseconds timeout)
    {
        fetcher.fetch(peer.at(), program::upstreams_path, "0");
        auto const limit = loop.now() + timeout;
        while (outcome.empty() && loop.now() < limit) {
            loop.run_once();
        }
    }
};

} // namespace

// Twelve hosts fetch a list from one host over a narrow link, so each transfer
// takes longer than a single one would. If slow transfers were dropped, all
// hosts would start again and none would ever have the list.
TEST_CASE("a peer's list that arrives slowly is not abandoned")
{
    fetching_host host(60, 400ms);
    host.run(6s);
    CHECK(host.outcome == "taken");
    CHECK(host.received_revision == 7);
}

// Guards against waiting forever for a host that froze midway instead of trying
// another.
TEST_CASE("a peer's list that stalls midway is abandoned")
{
    fetching_host host(300, 2s);
    host.run(3s);
    CHECK(host.outcome == "silent");
    CHECK(!host.received_revision);
}
