#include "fleet/claim_fleet.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using namespace std::chrono_literals;

TEST_CASE("a call runs, and a resend gets the first run's answer")
{
    claim_fleet hosts(7);
    CHECK(hosts.book("host-0"));
    hosts.start("host-1");
    auto const* fetch = hosts.last<fleet::claim_fetch_answer>("host-1");
    REQUIRE(fetch != nullptr);
    CHECK(fetch->host == "host-0");
    hosts.start("host-0");
    CHECK(hosts.last<fleet::claim_fetch_answer>("host-0") != nullptr);
    CHECK(hosts.runs() == 1);
}

TEST_CASE("a resend to another host while the first copy runs is unknown")
{
    // The caller's timeout is shorter than the booking takes. It would be
    // charged twice if the second host ran it too; "not run" would be false.
    claim_fleet hosts(7);
    hosts.start("host-0");
    REQUIRE(hosts.dispatch("host-0"));
    hosts.start("host-1");
    CHECK(hosts.last<fleet::claim_unknown>("host-1") != nullptr);
    hosts.start("host-0");
    CHECK(hosts.last<fleet::claim_unknown>("host-0") != nullptr);
    hosts.end("host-0", model::outcome::ran);
    hosts.start("host-1");
    CHECK(hosts.last<fleet::claim_fetch_answer>("host-1") != nullptr);
    CHECK(hosts.runs() == 1);
}

TEST_CASE("another body under the same key is refused")
{
    claim_fleet hosts(7);
    CHECK(hosts.book("host-0"));
    hosts.start("host-1", 2);
    CHECK(hosts.last<fleet::claim_mismatch>("host-1") != nullptr);
    hosts.start("host-0", 2);
    CHECK(hosts.last<fleet::claim_mismatch>("host-0") != nullptr);
}

TEST_CASE("the entry host dies before, during and after the dispatch")
{
    // A host is killed while a booking passes through it; the caller sends it
    // again elsewhere and must never be charged twice, nor hear "not run".
    claim_fleet hosts(7);
    hosts.start("host-0");
    SUBCASE("before")
    {
    }
    SUBCASE("during")
    {
        REQUIRE(hosts.dispatch("host-0"));
    }
    SUBCASE("after")
    {
        REQUIRE(hosts.dispatch("host-0"));
        hosts.end("host-0", model::outcome::ran);
    }
    hosts.kill("host-0");
    CHECK_FALSE(hosts.book("host-1"));
    CHECK(hosts.last<fleet::claim_not_run>("host-1") == nullptr);
    hosts.run("host-0");
    CHECK_FALSE(hosts.book("host-0"));
    CHECK(hosts.last<fleet::claim_not_run>("host-0") == nullptr);
    CHECK(hosts.runs() <= 1);
}

TEST_CASE("a call that is not dispatched is given back")
{
    // The upstream refuses before running: the caller is told "not run", and
    // the resend must run, or a collector loses the slot.
    claim_fleet hosts(7);
    hosts.start("host-0");
    REQUIRE(hosts.last<fleet::claim_proceed>("host-0") != nullptr);
    hosts.end("host-0", model::outcome::not_run);
    CHECK(hosts.last<fleet::claim_not_run>("host-0") != nullptr);
    CHECK(hosts.book("host-1"));
}

TEST_CASE("witnesses restart, one after the other")
{
    // Each new process has lost the claims; a majority of such hosts would
    // find the booking new and run it again.
    claim_fleet hosts(7);
    CHECK(hosts.book("host-0"));
    for (auto const& name : hosts.witnesses()) {
        hosts.run(name);
        for (auto const& entry : hosts.names()) {
            CHECK_FALSE(hosts.book(entry));
            CHECK(hosts.last<fleet::claim_not_run>(entry) == nullptr);
        }
    }
    CHECK(hosts.votes() == 0);
    CHECK(hosts.runs() == 1);
}

TEST_CASE("all hosts die together and start anew")
{
    // Nobody remembers what ran. Bookings are answered "unknown" until every
    // claim of before has lapsed, and run again then.
    fleet::claim_settings settings;
    settings.view_lease = 20s;
    settings.retention = 30s;
    settings.transfer_lease = 2s;
    settings.maturity = settings.min_maturity();
    claim_fleet hosts(7, settings);
    CHECK(hosts.book("host-0"));
    for (auto const& name : hosts.names()) {
        hosts.run(name);
    }
    hosts.pass(settings.maturity - 1s);
    CHECK_FALSE(hosts.book("host-1"));
    CHECK(hosts.last<fleet::claim_unknown>("host-1") != nullptr);
    hosts.pass(2s);
    CHECK(hosts.book("host-1"));
    CHECK(hosts.votes() == 5);
}

TEST_CASE("a fleet split in two parts runs a call in one of them at most")
{
    // A switch fails, both parts keep running and keep their callers. If each
    // took the other for dead, both would find witnesses of their own.
    claim_fleet hosts(7);
    for (std::size_t cut = 1; cut < 7; ++cut) {
        auto const side = [cut](std::string const& name) {
            return static_cast<std::size_t>(name.back() - '0') < cut;
        };
        hosts.passes = [side](auto const& from, auto const& to, auto const&) {
            return side(from) == side(to);
        };
        int const before = hosts.runs();
        for (auto const& name : hosts.names()) {
            hosts.book(name);
        }
        hosts.pass(3s);
        CHECK(hosts.runs() - before <= 1);
        hosts.passes = [](auto const&, auto const&, auto const&) {
            return true;
        };
        hosts.pass(700s);
    }
    CHECK(hosts.runs() > 0);
}

TEST_CASE("a host wakes after a long pause with a quorum in hand")
{
    // The process was stopped after it was told to proceed. Meanwhile the
    // witnesses forgot the claim and another host ran the call.
    claim_fleet hosts(7);
    hosts.start("host-0");
    REQUIRE(hosts.last<fleet::claim_proceed>("host-0") != nullptr);
    hosts.asleep.insert("host-0");
    hosts.pass(601s);
    CHECK(hosts.book("host-1"));
    hosts.asleep.clear();
    SUBCASE("and dispatches at once")
    {
    }
    SUBCASE("and hears of the list first")
    {
        hosts.confirm("host-0");
    }
    CHECK_FALSE(hosts.dispatch("host-0"));
    hosts.end("host-0", model::outcome::not_run);
    CHECK(hosts.last<fleet::claim_not_run>("host-0") == nullptr);
    CHECK(hosts.runs() == 1);
}

TEST_CASE("a witness that slept gives no vote before its list is confirmed")
{
    // Its list may be long gone and its vote given to others.
    claim_fleet hosts(7);
    auto const witnesses = hosts.witnesses();
    for (std::size_t index = 0; index < 3; ++index) {
        hosts.asleep.insert(witnesses[index]);
    }
    hosts.pass(10s);
    hosts.asleep.clear();
    std::string entry;
    for (auto const& name : hosts.names()) {
        bool const slept = name == witnesses[0] || name == witnesses[1]
                           || name == witnesses[2];
        entry = slept ? entry : name;
    }
    CHECK_FALSE(hosts.book(entry));
    hosts.pass(3s);
    CHECK(hosts.book(entry));
}

TEST_CASE("every host is replaced, one after the other")
{
    // A rolling replacement: each host says that it stops, hands its votes
    // over, and is taken off the list when a new one has come. Bookings go on
    // throughout, and those of before are remembered.
    claim_fleet hosts(7);
    CHECK(hosts.book("host-0"));
    auto names = hosts.listed();
    for (auto const& old : hosts.names()) {
        hosts.stop(old);
        CHECK(hosts.votes() == 5);
        std::string const fresh = "next-" + old;
        names.erase(old);
        names.insert(fresh);
        hosts.list(names);
        hosts.run(fresh);
        hosts.adopt_all();
        hosts.kill(old);
        hosts.pass(1s);
        CHECK_FALSE(hosts.book(fresh));
    }
    CHECK(hosts.votes() == 5);
    CHECK(hosts.runs() == 1);
}

TEST_CASE("every host restarts in place, one after the other")
{
    // An upgrade: each host stops as planned and starts again under its name,
    // too fast for the platform's list to tell. Its votes had been handed
    // over; were they not given back, every booking would find too few
    // witnesses for hours, though all hosts run.
    claim_fleet hosts(7);
    CHECK(hosts.book("host-0"));
    for (auto const& name : hosts.names()) {
        hosts.stop(name);
        hosts.kill(name);
        hosts.run(name);
        hosts.note_restart(name);
        hosts.list(hosts.listed());
        hosts.adopt_all();
        hosts.pass(1s);
        CHECK(hosts.votes() == 5);
        CHECK_FALSE(hosts.book(name));
    }
    CHECK(hosts.runs() == 1);
    CHECK(hosts.could_book_other("host-1"));
}

TEST_CASE("lists lag differently on each host")
{
    // Two hosts take places of two others; each host hears of it at another
    // time, and a caller sends the call to all of them at every step.
    claim_fleet hosts(9);
    auto names = hosts.listed();
    names.erase("host-7");
    names.erase("host-8");
    hosts.list(names);
    hosts.adopt_all();
    auto const witnesses = hosts.witnesses();
    names.erase(witnesses[0]);
    names.erase(witnesses[1]);
    names.insert("host-7");
    names.insert("host-8");
    hosts.list(names);
    for (auto const& name : hosts.names()) {
        hosts.adopt(name);
        for (auto const& entry : hosts.names()) {
            hosts.book(entry);
        }
        CHECK(hosts.votes() <= 5);
    }
    CHECK(hosts.runs() == 1);
}

TEST_CASE("a witness that can't hand over loses its vote and no claim runs")
{
    // The stop is cut short: the vote is gone, but never doubled.
    claim_fleet hosts(7);
    auto const leaving = hosts.witnesses().front();
    hosts.passes = [&](auto const& from, auto const&, auto const&) {
        return from != leaving;
    };
    hosts.stop(leaving);
    CHECK(hosts.votes() == 4);
    hosts.pass(40s);
    CHECK(hosts.votes() == 4);
    std::string const entry = hosts.witnesses()[1];
    CHECK(hosts.book(entry));
}

TEST_CASE("a host that hears no list for the lease loses its votes")
{
    // Cut off from the service and from its peers, it may be off the list;
    // its votes are given out anew elsewhere.
    fleet::claim_settings settings;
    settings.view_lease = 20s;
    settings.retention = 30s;
    settings.transfer_lease = 2s;
    settings.maturity = settings.min_maturity();
    claim_fleet hosts(7, settings);
    auto const alone = hosts.witnesses().front();
    hosts.asleep.insert(alone);
    hosts.pass(21s);
    hosts.asleep.clear();
    hosts.tick(alone);
    CHECK(hosts.votes() == 4);
    hosts.confirm(alone);
    CHECK(hosts.votes() == 4);
    hosts.pass(settings.maturity + 1s);
    CHECK(hosts.book(alone));
    CHECK(hosts.votes() == 5);
}

TEST_CASE("a release that was lost doesn't block the key for good")
{
    // The call was never dispatched and its caller was told so; the resend
    // elsewhere finds the witnesses still holding it.
    claim_fleet hosts(7);
    hosts.start("host-0");
    hosts.passes = [](auto const&, auto const&, auto const& message) {
        return !std::holds_alternative<fleet::claim_release>(message);
    };
    hosts.end("host-0", model::outcome::not_run);
    hosts.passes = [](auto const&, auto const&, auto const&) {
        return true;
    };
    CHECK_FALSE(hosts.book("host-1"));
    CHECK(hosts.last<fleet::claim_unknown>("host-1") != nullptr);
    CHECK(hosts.book("host-1"));
}

TEST_CASE("a claim that waited too long is given back by itself")
{
    claim_fleet hosts(7);
    hosts.start("host-0");
    hosts.pass(61s);
    CHECK(hosts.last<fleet::claim_not_run>("host-0") != nullptr);
    CHECK_FALSE(hosts.dispatch("host-0"));
    CHECK(hosts.book("host-1"));
}

TEST_CASE("two hosts alone need each other, and one needs none")
{
    claim_fleet pair(2);
    CHECK(pair.book("host-0"));
    pair.kill("host-1");
    pair.pass(601s);
    CHECK_FALSE(pair.book("host-0"));
    claim_fleet single(1);
    CHECK(single.book("host-0"));
}

TEST_CASE("a data centre's loss leaves a majority of the votes")
{
    // Three data centres with three, two and two hosts; any of them goes.
    fleet::claim_settings const settings;
    model::host_list hosts;
    hosts.revision = 1;
    for (int index = 0; index < 7; ++index) {
        model::host host;
        host.name = "host-" + std::to_string(index);
        host.data_centre = "dc-" + std::to_string(index % 3);
        hosts.members.push_back(host);
    }
    fleet::claim_view const view(hosts, settings);
    for (std::size_t bucket = 0; bucket < settings.buckets; ++bucket) {
        std::map<char, int> lost;
        for (auto const& name : view.witnesses(bucket)) {
            ++lost[static_cast<char>((name.back() - '0') % 3)];
        }
        for (auto const& [centre, count] : lost) {
            CHECK(count <= 2);
        }
    }
}

TEST_CASE("a leaving host's vote goes past a successor that is gone")
{
    // The next in rank has crashed and the list still names it. A vote that
    // waited for it would be lost with the leaving host.
    claim_fleet hosts(7);
    auto const leaving = hosts.witnesses().front();
    auto const staying = hosts.witnesses();
    std::set<std::string> spare = hosts.listed();
    for (auto const& name : staying) {
        spare.erase(name);
    }
    REQUIRE(spare.size() == 2);
    SUBCASE("the first")
    {
        hosts.kill(*spare.begin());
    }
    SUBCASE("the second")
    {
        hosts.kill(*spare.rbegin());
    }
    hosts.stop(leaving);
    hosts.pass(5s);
    CHECK(hosts.votes() == 5);
    hosts.kill(leaving);
    CHECK(hosts.book(staying.back()));
}

TEST_CASE("hosts stop faster than the list follows")
{
    // An operator stops three hosts within seconds of each other; the list
    // still names all of them, and they choose the same successor, which can
    // have one vote only. A majority of the votes must be left.
    claim_fleet hosts(8);
    CHECK(hosts.book("host-0"));
    auto const order = hosts.witnesses();
    for (std::size_t index = 0; index < 3; ++index) {
        hosts.stop(order[index]);
        hosts.pass(5s);
        hosts.kill(order[index]);
    }
    CHECK(hosts.votes() >= 3);
    auto names = hosts.listed();
    for (std::size_t index = 0; index < 3; ++index) {
        names.erase(order[index]);
    }
    hosts.list(names);
    hosts.adopt_all();
    CHECK(hosts.votes() >= 3);
    CHECK_FALSE(hosts.book(order[3]));
    CHECK(hosts.runs() == 1);
    hosts.pass(601s);
    CHECK(hosts.book(order[3]));
}
