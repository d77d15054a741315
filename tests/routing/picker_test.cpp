#include "routing/picker.hpp"

#include "routing/support.hpp"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace caperjunction;
using namespace caperjunction::test;
using routing::request_kind;

namespace {

/// Engines of one service in two regions, and requests to place on them.
struct site
{
    routing::upstream_directory directory{measure};
    routing::picker picker{directory};
    routing::route bulk = make_route("/bulk/", request_kind::stream, 2);
    routing::route chat = make_route("/chat/", request_kind::stream, 0);
    routing::prompt prompt;
    std::vector<std::string> attempted;
    std::uint32_t urgent_streams = 0;

    explicit site(int engines)
    {
        for (int number = 0; number < engines; ++number) {
            directory.put(engine("e" + std::to_string(number),
                                 number % 3 == 2 ? "c" : "a"));
        }
        bulk.latency_target = 1'500ms;
        chat.latency_target = 400ms;
    }

    routing::pick place(routing::route const& route,
                        std::uint64_t subject,
                        std::uint32_t shared,
                        std::uint32_t own)
    {
        prompt.parts = {{1, 100}, {subject, shared}, {999, own}};
        prompt.tokens = 100 + shared + own;
        routing::pick_request request;
        request.route = &route;
        request.prompt = &prompt;
        request.service = "llm";
        request.body_bytes = std::size_t{prompt.tokens} * 2;
        request.attempted = &attempted;
        request.is_most_urgent = route.rank == 0;
        request.urgent_streams = urgent_streams;
        auto chosen = picker.choose(request, start);
        if (chosen.to) {
            picker.record_sent(request, *chosen.to, start);
        }
        return chosen;
    }
};

} // namespace

TEST_CASE("prompts that share parts go to one engine, from every host")
{
    site one(12);
    site other(12);
    std::set<std::string> used;
    for (std::uint64_t subject = 10; subject < 60; ++subject) {
        auto const first = one.place(one.bulk, subject, 4'000, 2'000);
        REQUIRE(first.to);
        CHECK(first.uncached_tokens == 0);
        CHECK(first.to->description.id
              == one.place(one.bulk, subject, 4'000, 2'000).to->description.id);
        CHECK(first.to->description.id
              == other.place(other.bulk, subject, 4'000, 2'000)
                     .to->description.id);
        used.insert(first.to->description.id);
    }
    CHECK(used.size() >= 6);
}

// One engine breaks down. If that moved the prompts of all others, every
// engine would read everything anew just when one is missing.
TEST_CASE("an engine that rests moves only its own prompts")
{
    site whole(12);
    std::map<std::uint64_t, std::string> homes;
    for (std::uint64_t subject = 10; subject < 110; ++subject) {
        homes[subject] =
            whole.place(whole.bulk, subject, 4'000, 2'000).to->description.id;
    }
    site broken(12);
    std::string const lost = homes.begin()->second;
    broken.directory.find(lost)->health.record_unreachable(start);
    for (auto const& [subject, home] : homes) {
        auto const now = broken.place(broken.bulk, subject, 4'000, 2'000);
        CHECK(now.to->description.id != lost);
        if (home != lost) {
            CHECK(now.to->description.id == home);
        }
    }
}

// Long prompts stretch the steps of every stream on their engine: a chat
// beside them pauses, and its caller sees words come in jerks.
TEST_CASE("chats and long prompts use different engines")
{
    site calm(12);
    std::set<std::string> chats;
    std::set<std::string> bulks;
    for (std::uint64_t subject = 10; subject < 110; ++subject) {
        chats.insert(
            calm.place(calm.chat, subject, 60, 500).to->description.id);
        bulks.insert(
            calm.place(calm.bulk, subject, 4'000, 2'000).to->description.id);
    }
    for (std::string const& id : chats) {
        CHECK(bulks.count(id) == 0);
    }
}

TEST_CASE("a prompt leaves a full home before it is late, for one other")
{
    site full(12);
    auto const home = full.place(full.bulk, 10, 4'000, 2'000).to;
    home->others.pending_prefill_tokens = 500'000;
    auto const away = full.place(full.bulk, 10, 4'000, 2'000);
    CHECK(away.to != home);
    site same(12);
    same.directory.find(home->description.id)->others.pending_prefill_tokens =
        500'000;
    CHECK(same.place(same.bulk, 10, 4'000, 2'000).to->description.id
          == away.to->description.id);
}

TEST_CASE("a little load is no reason to read a prompt anew elsewhere")
{
    site calm(12);
    auto const home = calm.place(calm.bulk, 10, 4'000, 2'000).to;
    home->own.pending_prefill_tokens = 8'000;
    CHECK(calm.place(calm.bulk, 10, 4'000, 2'000).to == home);
}

// An engine fails part of its requests while its health check is good.
TEST_CASE("an engine that fails requests is left for another")
{
    site grey(12);
    auto const home = grey.place(grey.bulk, 10, 4'000, 2'000).to;
    for (int failed = 0; failed < 4; ++failed) {
        home->health.record_failure(start);
    }
    CHECK(grey.place(grey.bulk, 10, 4'000, 2'000).to != home);
}

TEST_CASE("an engine that was left alone is tried again")
{
    routing::upstream_health health;
    health.record_unreachable(start);
    CHECK(health.is_backing_off(start));
    CHECK(!health.is_backing_off(start + 500ms));
    for (int again = 0; again < 10; ++again) {
        health.record_unreachable(start + 1s);
    }
    CHECK(health.is_backing_off(start + 3s));
    CHECK(!health.is_backing_off(start + 5s));
    CHECK(health.failure_share(start + 60s) < 0.01);
}

TEST_CASE("an upstream that was tried is not picked again")
{
    site small(2);
    auto const first = small.place(small.bulk, 10, 4'000, 2'000);
    small.attempted.push_back(first.to->description.id);
    auto const second = small.place(small.bulk, 10, 4'000, 2'000);
    REQUIRE(second.to);
    CHECK(second.to != first.to);
    small.attempted.push_back(second.to->description.id);
    CHECK(!small.place(small.bulk, 10, 4'000, 2'000).to);
}

TEST_CASE("where all rest, one is picked rather than none")
{
    site dark(3);
    dark.directory.each([](routing::upstream_state& state) {
        state.health.record_unreachable(start);
    });
    CHECK(dark.place(dark.bulk, 10, 4'000, 2'000).to);
}

// Chats come in a burst of their own. With as many engines as at rest they
// would fill these beyond their slots and wait there for seconds, while the
// engines of long prompts are half idle.
TEST_CASE("a burst of chats gets more engines, and none waits for a slot")
{
    site busy(24);
    std::map<std::string, std::uint32_t> running;
    for (int number = 0; number < 600; ++number) {
        busy.urgent_streams = static_cast<std::uint32_t>(number);
        auto const subject = static_cast<std::uint64_t>(10 + number % 50);
        auto const chosen = busy.place(busy.chat, subject, 60, 500);
        REQUIRE(chosen.to);
        chosen.to->own.running += 1;
        ++running[chosen.to->description.id];
    }
    for (auto const& [id, streams] : running) {
        // An engine has 64 slots.
        CHECK(streams <= 72);
    }
}

// While few chats run, long prompts get nearly all engines.
TEST_CASE("long prompts get the engines that chats don't need")
{
    site calm(24);
    std::set<std::string> bulks;
    for (std::uint64_t subject = 10; subject < 400; ++subject) {
        bulks.insert(
            calm.place(calm.bulk, subject, 4'000, 2'000).to->description.id);
    }
    CHECK(bulks.size() == 21);
    calm.urgent_streams = 500;
    bulks.clear();
    for (std::uint64_t subject = 10; subject < 400; ++subject) {
        bulks.insert(
            calm.place(calm.bulk, subject, 4'000, 2'000).to->description.id);
    }
    CHECK(bulks.size() == 12);
}

// Hosts of different regions list the same engines; which of them urgent
// streams have must not depend on where a host stands.
TEST_CASE("hosts of all regions agree on the engines of urgent streams")
{
    routing::upstream_directory here(measure);
    routing::upstream_directory there([](std::string const& centre) {
        return centre == "d" ? routing::distance::same_data_centre
                             : routing::distance::other_region;
    });
    for (int number = 0; number < 20; ++number) {
        std::string const centre(1, static_cast<char>('a' + number % 4));
        here.put(engine("e" + std::to_string(number), centre));
        there.put(
            engine("e" + std::to_string(19 - number),
                   std::string(1, static_cast<char>('a' + (19 - number) % 4))));
    }
    auto const& ours = here.reservation_order("llm");
    auto const& theirs = there.reservation_order("llm");
    REQUIRE(ours.size() == 20);
    REQUIRE(theirs.size() == 20);
    std::set<std::string> first_centres;
    for (std::size_t place = 0; place < ours.size(); ++place) {
        CHECK(ours[place]->description.id == theirs[place]->description.id);
        CHECK(ours[place]->reservation_rank == place);
        if (place < 4) {
            first_centres.insert(ours[place]->description.data_centre);
        }
    }
    CHECK(first_centres.size() == 4);
}

// A burst of long prompts, some subjects far more asked for than others, one
// engine slow. Callers want their first event in time.
TEST_CASE("a skewed burst is spread before engines are far behind")
{
    site busy(12);
    std::map<std::string, std::uint64_t> sent;
    for (int number = 0; number < 240; ++number) {
        auto const subject = static_cast<std::uint64_t>(10 + number % 7);
        auto const chosen = busy.place(busy.bulk, subject, 4'000, 2'000);
        REQUIRE(chosen.to);
        std::uint64_t const work = 2'000 + chosen.uncached_tokens;
        chosen.to->own.pending_prefill_tokens += work;
        sent[chosen.to->description.id] += work;
    }
    std::uint64_t most = 0;
    for (auto const& [id, work] : sent) {
        most = std::max(most, work);
    }
    // Seven homes alone would have 70,000 and more each.
    CHECK(most < 110'000);
    CHECK(sent.size() >= 7);
}

TEST_CASE("plain calls go to the nearest free server")
{
    routing::upstream_directory directory(measure);
    directory.put(engine("far", "c", "ledger"));
    directory.put(engine("near", "a", "ledger"));
    routing::picker picker(directory);
    auto const route = make_route("/book/", request_kind::at_most_once);
    routing::prompt const none;
    routing::pick_request request;
    request.route = &route;
    request.prompt = &none;
    request.service = "ledger";
    CHECK(picker.choose(request, start).to->description.id == "near");
    directory.find("near")->own.running = 2'000;
    CHECK(picker.choose(request, start).to->description.id == "far");
}

// The engine of urgent streams nearby turns slow. Its first events still come
// in time, but words come in jerks to all who are sent there, while another
// engine runs at full speed.
TEST_CASE("urgent streams leave an engine whose streams pause")
{
    site slow(12);
    auto const usual = slow.place(slow.chat, 10, 60, 500).to;
    slow.chat.max_event_gap = 200ms;
    usual->others_performance.longest_gap = 600ms;
    CHECK(slow.place(slow.chat, 10, 60, 500).to != usual);
    site calm(12);
    calm.chat.max_event_gap = 200ms;
    calm.directory.find(usual->description.id)->others_performance.longest_gap =
        100ms;
    CHECK(calm.place(calm.chat, 10, 60, 500).to->description.id
          == usual->description.id);
}

// An engine comes back and the order of engines for urgent streams changes.
// Streams still run on the one that left it; prompts that came at once would
// make all of them pause.
TEST_CASE("prompts wait until the urgent streams of an engine have ended")
{
    site calm(12);
    auto const home = calm.place(calm.bulk, 10, 4'000, 2'000).to;
    home->others.urgent = 25;
    auto const away = calm.place(calm.bulk, 10, 4'000, 2'000).to;
    CHECK(away != home);
    home->others.urgent = 2;
    CHECK(calm.place(calm.bulk, 10, 4'000, 2'000).to == home);
}
