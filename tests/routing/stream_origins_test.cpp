#include "routing/origin_claims.hpp"
#include "routing/origin_peer.hpp"
#include "routing/software_history.hpp"
#include "routing/stream_origins.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <vector>

using namespace caperjunction::routing;
using namespace std::chrono_literals;
using caperjunction::model::time_point;

namespace {

constexpr software first{1, 10};
constexpr software second{1, 20};
constexpr std::uint64_t stream = 7;
constexpr time_point start{1h};

upstream engine_of(std::string const& id, std::string const& version)
{
    upstream described;
    described.id = id;
    described.service = "ledger";
    described.software_version = version;
    return described;
}

origin_claim recorded(software at)
{
    return {origin_knowledge::recorded, at};
}

origin_claim only(software at)
{
    return {origin_knowledge::only_software, at};
}

upstream_directory empty_directory()
{
    return upstream_directory([](std::string const&) {
        return location{};
    });
}

std::uint64_t const ledger = software_service_key("ledger");

} // namespace

TEST_CASE("streams are remembered for a time and up to a number")
{
    stream_origins origins(3);
    for (std::uint64_t number = 1; number <= 4; ++number) {
        origins.record({number, first}, start + number * 1s);
    }
    CHECK_FALSE(origins.find(1));
    CHECK(origins.find(4) == first);
    CHECK(origins.evicted() == 1);
    origins.expire(2s, start + 5s);
    CHECK_FALSE(origins.find(2));
    CHECK(origins.find(3) == first);
    CHECK(origins.evicted() == 1);
}

// Guards against a stream that is forgotten while its caller still takes it up.
TEST_CASE("a stream that is recorded again is remembered longer")
{
    stream_origins origins;
    origins.record({stream, first}, start);
    origins.record({stream, first}, start + 3s);
    origins.expire(2s, start + 4s);
    CHECK(origins.find(stream) == first);
    origins.expire(2s, start + 6s);
    CHECK(origins.size() == 0);
}

// Guards against one of two versions that is chosen by the order of messages.
TEST_CASE("records that contradict each other make a stream unknown")
{
    stream_origins origins;
    origins.record({stream, first}, start);
    origins.record({stream, second}, start);
    origins.record({stream, first}, start);
    CHECK_FALSE(origins.find(stream));
    CHECK(origins.all().empty());
}

TEST_CASE("untold streams are given out once, by service")
{
    stream_origins origins;
    origins.record_untold({stream, first}, start);
    CHECK(origins.take_untold(2).empty());
    CHECK(origins.take_untold(1)
          == std::vector<stream_origin>{{stream, first}});
    CHECK_FALSE(origins.has_untold());
    CHECK(origins.find(stream) == first);
}

TEST_CASE("one version counts as the only one after the whole window")
{
    upstream_directory directory = empty_directory();
    software_history history;
    auto const observe = [&](std::chrono::seconds from,
                             std::chrono::seconds to) {
        for (auto at = from; at <= to; at += 1s) {
            history.observe(directory, start + at);
        }
        return history.served(ledger, 8s, start + to);
    };
    CHECK(history.served(ledger, 8s, start) == served_software::unknown);
    directory.put(engine_of("i-1", "v1"));
    CHECK(observe(0s, 7s) == served_software::unknown);
    CHECK(observe(8s, 8s) == served_software::one);

    directory.put(engine_of("i-2", "v2"));
    CHECK(observe(9s, 9s) == served_software::several);
    // Streams of the first version may be taken up until the window is over.
    directory.remove("i-1", start + 10s);
    CHECK(observe(10s, 17s) == served_software::several);
    CHECK(observe(18s, 18s) == served_software::one);
    CHECK(history.newest(ledger) == software_of(engine_of("", "v2")));
}

// Guards against a host that was suspended, or cut off, while another version
// came and went.
TEST_CASE("what served while a host couldn't observe it is unknown")
{
    upstream_directory directory = empty_directory();
    directory.put(engine_of("i-1", "v1"));
    software_history history;
    for (auto at = 0s; at <= 20s; at += 1s) {
        history.observe(directory, start + at);
    }
    CHECK(history.served(ledger, 8s, start + 20s) == served_software::one);
    history.observe(directory, start + 25s);
    CHECK(history.served(ledger, 8s, start + 25s) == served_software::unknown);
    for (auto at = 26s; at <= 33s; at += 1s) {
        history.observe(directory, start + at);
    }
    CHECK(history.served(ledger, 8s, start + 33s) == served_software::one);
    history.reset();
    history.observe(directory, start + 34s);
    CHECK(history.served(ledger, 8s, start + 34s) == served_software::unknown);
}

TEST_CASE("an engine that leaves still counts as serving")
{
    upstream_directory directory = empty_directory();
    software_history history;
    upstream leaving = engine_of("i-1", "v1");
    leaving.draining = true;
    directory.put(leaving);
    directory.put(engine_of("i-2", "v2"));
    history.observe(directory, start);
    CHECK(history.served(ledger, 8s, start) == served_software::several);
    CHECK_FALSE(directory.has_software("ledger", software_of(leaving)));
}

// Guards against a version that is guessed from what some hosts don't know.
TEST_CASE("claims of hosts give a software only if nothing speaks against it")
{
    struct variant
    {
        std::vector<origin_claim> claims;
        std::optional<software> result;
    };

    origin_claim const none;
    origin_claim const several{origin_knowledge::several, {}};
    std::vector<variant> const variants{
        {{}, std::nullopt},
        {{none, none}, std::nullopt},
        {{none, recorded(first)}, first},
        {{several, recorded(first)}, first},
        {{only(second), recorded(first)}, first},
        {{recorded(first), recorded(second)}, std::nullopt},
        {{only(first), none}, first},
        {{only(first), only(first)}, first},
        {{only(first), only(second)}, std::nullopt},
        {{only(first), several}, std::nullopt},
        {{several, only(first)}, std::nullopt}};
    for (variant const& item : variants) {
        origin_claims claims;
        for (origin_claim const& claim : item.claims) {
            claims.add(claim);
        }
        CHECK(claims.result() == item.result);
    }
}

// Guards against streams whose only witnesses stand in one data centre.
TEST_CASE("streams are told to two hosts here and one in another data centre")
{
    struct variant
    {
        std::size_t local;
        std::size_t remote;
        std::size_t chosen_local;
        std::size_t chosen_remote;
    };

    for (variant const& item : {variant{5, 4, 2, 1},
                                variant{1, 4, 1, 2},
                                variant{0, 4, 0, 3},
                                variant{4, 0, 3, 0},
                                variant{1, 0, 1, 0},
                                variant{0, 0, 0, 0}}) {
        std::vector<origin_peer> peers;
        for (std::size_t index = 0; index < item.local + item.remote; ++index) {
            peers.push_back({{"10.0.0.1", static_cast<std::uint16_t>(index)},
                             index < item.local});
        }
        for (std::uint64_t random = 0; random < 20; ++random) {
            auto const chosen = choose_origin_holders(peers, random);
            auto const local = std::count_if(
                chosen.begin(), chosen.end(), [](auto const& peer) {
                    return peer.is_in_data_centre;
                });
            CHECK(static_cast<std::size_t>(local) == item.chosen_local);
            CHECK(chosen.size() == item.chosen_local + item.chosen_remote);
        }
    }
}
