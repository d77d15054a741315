#include "routing/picker.hpp"

#include "routing/support.hpp"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace caperjunction;
using namespace caperjunction::test;
using routing::request_kind;

namespace {

/// Engines of one service in two regions, and requests for them.
struct site
{
    routing::upstream_directory directory{locate};
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

// One engine fails. If this moved the prompts of all other engines too, every
// engine would read all prefixes again while one is missing.
TEST_CASE("an engine that backs off moves only its own prompts")
{
    site healthy(12);
    std::map<std::uint64_t, std::string> affinity_engines;
    for (std::uint64_t subject = 10; subject < 110; ++subject) {
        affinity_engines[subject] =
            healthy.place(healthy.bulk, subject, 4'000, 2'000)
                .to->description.id;
    }
    site degraded(12);
    std::string const lost = affinity_engines.begin()->second;
    degraded.directory.find(lost)->health.record_unreachable(start);
    for (auto const& [subject, affinity] : affinity_engines) {
        auto const now = degraded.place(degraded.bulk, subject, 4'000, 2'000);
        CHECK(now.to->description.id != lost);
        if (affinity != lost) {
            CHECK(now.to->description.id == affinity);
        }
    }
}

// Long prompts prolong each step of all streams on their engine: a chat on the
// same engine has long gaps between its events.
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

TEST_CASE("a prompt leaves a full affinity engine early, for one other engine")
{
    site full(12);
    auto const affinity = full.place(full.bulk, 10, 4'000, 2'000).to;
    affinity->others.pending_prefill_tokens = 500'000;
    auto const other_engine = full.place(full.bulk, 10, 4'000, 2'000);
    CHECK(other_engine.to != affinity);
    site same(12);
    same.directory.find(affinity->description.id)
        ->others.pending_prefill_tokens = 500'000;
    CHECK(same.place(same.bulk, 10, 4'000, 2'000).to->description.id
          == other_engine.to->description.id);
}

TEST_CASE("a small load does not move a prompt to another engine")
{
    site calm(12);
    auto const affinity = calm.place(calm.bulk, 10, 4'000, 2'000).to;
    affinity->own.pending_prefill_tokens = 8'000;
    CHECK(calm.place(calm.bulk, 10, 4'000, 2'000).to == affinity);
}

// An engine fails some requests although its health check passes.
TEST_CASE("an engine that fails requests is avoided")
{
    site grey(12);
    auto const affinity = grey.place(grey.bulk, 10, 4'000, 2'000).to;
    for (int failed = 0; failed < 4; ++failed) {
        affinity->health.record_failure(start);
    }
    CHECK(grey.place(grey.bulk, 10, 4'000, 2'000).to != affinity);
}

TEST_CASE("an engine is attempted again after its back-off")
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

TEST_CASE("an upstream that was attempted is not picked again")
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

// Guards against a request to an engine that has asked for a pause, and against
// a caller who is not told when to come back.
TEST_CASE("engines that want a pause get nothing, and the wait is known")
{
    site paused(2);
    auto const place = [&paused] {
        return paused.place(paused.bulk, 10, 4'000, 2'000);
    };
    auto const first = place();
    first.to->paused_until = start + 3s;
    auto const second = place();
    REQUIRE(second.to);
    CHECK(second.to != first.to);
    CHECK(second.limited == 1);
    second.to->paused_until = start + 700ms;
    auto const none = place();
    CHECK(!none.to);
    CHECK(none.limited == 2);
    CHECK(none.retry_after == 700ms);
    second.to->paused_until = start;
    CHECK(place().to == second.to);
}

TEST_CASE("if all engines back off, one is still picked")
{
    site dark(3);
    dark.directory.each([](routing::upstream_state& state) {
        state.health.record_unreachable(start);
    });
    CHECK(dark.place(dark.bulk, 10, 4'000, 2'000).to);
}

// A burst consists of chats only. With the number of reserved engines at idle
// they would exceed the slots and wait for seconds, while the engines for long
// prompts are half idle.
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
        // Each engine has 64 slots.
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

// Hosts of different regions know the same engines. The engines reserved for
// urgent streams must not depend on a host's location.
TEST_CASE("hosts of all regions agree on the engines of urgent streams")
{
    routing::upstream_directory local(locate);
    routing::upstream_directory remote([](std::string const& data_centre) {
        return data_centre == "d"
                   ? routing::location{routing::distance::same_data_centre, "d"}
                   : routing::location{routing::distance::other_region, "abc"};
    });
    for (int number = 0; number < 20; ++number) {
        std::string const data_centre(1, static_cast<char>('a' + number % 4));
        local.put(engine("e" + std::to_string(number), data_centre));
        remote.put(
            engine("e" + std::to_string(19 - number),
                   std::string(1, static_cast<char>('a' + (19 - number) % 4))));
    }
    auto const& local_order = local.reservation_order("llm");
    auto const& remote_order = remote.reservation_order("llm");
    REQUIRE(local_order.size() == 20);
    REQUIRE(remote_order.size() == 20);
    std::set<std::string> first_data_centres;
    for (std::size_t index = 0; index < local_order.size(); ++index) {
        CHECK(local_order[index]->description.id
              == remote_order[index]->description.id);
        CHECK(local_order[index]->reservation_rank == index);
        if (index < 4) {
            first_data_centres.insert(
                local_order[index]->description.data_centre);
        }
    }
    CHECK(first_data_centres.size() == 4);
}

// A burst of long prompts in which some prefixes have far more requests than
// others. First events must still be in time.
TEST_CASE("a skewed burst is spread over engines before they are far behind")
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
    std::uint64_t max_work = 0;
    for (auto const& [id, work] : sent) {
        max_work = std::max(max_work, work);
    }
    // With affinity engines only, the seven prefixes would put at least 70,000
    // tokens on each of their engines.
    CHECK(max_work < 110'000);
    CHECK(sent.size() >= 7);
}

TEST_CASE("plain calls go to the nearest free server")
{
    routing::upstream_directory directory(locate);
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

// A near engine reserved for urgent streams slows down. Its first events are
// still in time, but its streams have long gaps, while another engine runs at
// full speed.
TEST_CASE("urgent streams avoid an engine with long event gaps")
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

// An engine returns and the reservation order changes. Urgent streams still run
// on the engine that is no longer reserved; prompts sent there at once would
// cause long gaps in all of them.
TEST_CASE("prompts avoid an engine until its urgent streams have ended")
{
    site calm(12);
    auto const affinity = calm.place(calm.bulk, 10, 4'000, 2'000).to;
    affinity->others.urgent = 25;
    auto const other_engine = calm.place(calm.bulk, 10, 4'000, 2'000).to;
    CHECK(other_engine != affinity);
    affinity->others.urgent = 2;
    CHECK(calm.place(calm.bulk, 10, 4'000, 2'000).to == affinity);
}

// Guards against streams that can go on nowhere when their engine fails,
// although engines of another version have capacity.
TEST_CASE(
    "a stream that may be resumed begins where a second engine could go on")
{
    struct outcome
    {
        int at_lone = 0;
        int total = 0;
    };

    auto const begin = [](bool resumable, bool are_others_busy) {
        site test(4);
        for (int number = 0; number < 4; ++number) {
            auto described =
                test.directory.find("e" + std::to_string(number))->description;
            described.software_version = number == 0 ? "v1" : "v2";
            test.directory.put(described);
            auto const state = test.directory.find(described.id);
            if (number > 0 && are_others_busy) {
                state->others.pending_prefill_tokens = 80'000;
            }
        }
        test.bulk.resumable = resumable;
        outcome result;
        for (std::uint64_t subject = 10; subject < 60; ++subject) {
            auto const chosen = test.place(test.bulk, subject, 400, 200);
            REQUIRE(chosen.to);
            result.at_lone += chosen.to->description.id == "e0" ? 1 : 0;
            ++result.total;
        }
        return result;
    };
    CHECK(begin(false, false).at_lone > 5);
    CHECK(begin(true, false).at_lone == 0);
    // Load counts for more.
    CHECK(begin(true, true).at_lone > 25);
}
