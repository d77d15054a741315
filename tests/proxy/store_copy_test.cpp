#include "program/replica_host.hpp"
#include "proxy/relay_fixture.hpp"
#include "proxy/store_reader.hpp"

#include <absl/strings/escaping.h>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <deque>
#include <string>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

std::string answer(std::uint64_t era, std::string const& body, int status = 200)
{
    return fmt::format(
        "HTTP/1.1 {} X\r\nStore-Era: {}\r\nContent-Length: {}\r\n\r\n{}",
        status,
        era,
        body.size(),
        body);
}

/// An item as the store encodes it.
std::string item(std::string const& id,
                 std::uint64_t revision,
                 std::string const& state = "ready")
{
    return fmt::format(
        R"({{"key":"servers/{}","value":"{}","revision":{}}})",
        id,
        absl::Base64Escape(upstream_item(id, revision, state).value),
        revision);
}

std::string range(std::string const& items, std::uint64_t revision)
{
    return fmt::format(
        R"({{"items":[{}],"more_pages":false,"store_revision":{}}})",
        items,
        revision);
}

std::string events(std::string const& items, std::uint64_t revision)
{
    return fmt::format(
        R"({{"events":[{}],"store_revision":{}}})", items, revision);
}

/// A host that reads a scripted store.
struct reading_host
{
    explicit reading_host(std::deque<std::string> script_of_store)
        : answers(std::move(script_of_store))
    {
        reader.set_watching(true);
        reader.start(200ms, [this] {
            return loop.now();
        });
    }

    runtime::event_loop loop;
    std::deque<std::string> answers;
    std::vector<std::string> targets;
    scripted_upstream store{loop, [this](received const& request) -> script {
                                targets.push_back(request.head.target);
                                if (answers.empty()) {
                                    return {};
                                }
                                script next{answers.front()};
                                answers.pop_front();
                                return next;
                            }};
    replica_host host{loop};
    proxy::store_reader reader{loop, store.at(), host.codec, "", hooks()};

    proxy::store_hooks hooks()
    {
        proxy::store_hooks made;
        made.on_item = [this](proxy::store_item const& read) {
            host.replica.apply(read);
        };
        made.on_complete = [this](proxy::store_list const& list) {
            host.replica.retain_only(list.keys, list.at);
        };
        made.on_confirmed = [this](model::time_point,
                                   routing::store_position at) {
            host.replica.commit(at);
        };
        made.on_era = [this](std::uint64_t era) {
            host.replica.enter_era(era);
        };
        made.on_lost = [](proxy::store_failure const&) {};
        made.on_regained = [] {};
        return made;
    }

    /// Runs until all answers of the script have been given and read.
    bool run_to_end()
    {
        auto const limit = loop.now() + 5s;
        std::size_t const last = targets.size() + answers.size() + 1;
        while (targets.size() < last && loop.now() < limit) {
            loop.run_once();
        }
        return answers.empty();
    }
};

} // namespace

// Guards against leaves that hosts never hear of because the store, back from a
// copy, gives revisions out again that they have.
TEST_CASE("a leave after the store's return from a copy reaches the peers")
{
    reading_host watcher(
        {answer(1, range(item("i-1", 120) + "," + item("i-2", 126), 126)),
         answer(2, "{}", 410),
         answer(2, range(item("i-1", 120), 122)),
         answer(2, events(item("i-1", 124, "draining"), 124))});
    replica_host peer(watcher.loop);
    peer.replica.apply(upstream_item("i-1", 120));
    peer.replica.apply(upstream_item("i-2", 126));
    peer.replica.commit(126);
    REQUIRE(watcher.run_to_end());
    CHECK(!watcher.host.uses("i-1"));
    fetch_changes(peer, watcher.host);
    CHECK(!peer.uses("i-1"));
}
