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
    // The caller's timeout is shorter than the booking takes. If the second
    // host ran it too, the caller would be charged twice; "not run" would be
    // false.
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

TEST_CASE("the entry host crashes before, during and after the dispatch")
{
    // A host is killed while it serves a booking, and the caller resends it to
    // another host. It must neither run twice nor be answered "not run".
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

TEST_CASE("the claim of a call that is not dispatched is released")
{
    // The upstream refuses the call before running it. The caller is answered
    // "not run", and the resend must run; otherwise the booking is lost.
    claim_fleet hosts(7);
    hosts.start("host-0");
    REQUIRE(hosts.last<fleet::claim_proceed>("host-0") != nullptr);
    hosts.end("host-0", model::outcome::not_run);
    CHECK(hosts.last<fleet::claim_not_run>("host-0") != nullptr);
    CHECK(hosts.book("host-1"));
}

TEST_CASE("witnesses restart, one after the other")
{
    // Each new process has lost its claims. If such hosts had votes, a majority
    // of them would run the booking again.
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

TEST_CASE("all hosts crash together and restart")
{
    // All claims are lost. Bookings are answered "unknown" until every earlier
    // claim has expired, and run after that.
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
    hosts.advance(settings.maturity - 1s);
    CHECK_FALSE(hosts.book("host-1"));
    CHECK(hosts.last<fleet::claim_unknown>("host-1") != nullptr);
    hosts.advance(2s);
    CHECK(hosts.book("host-1"));
    CHECK(hosts.votes() == 5);
}

TEST_CASE("a partitioned fleet runs a call on at most one side")
{
    // A switch fails, and both sides keep running and keep their callers. If
    // each considered the other lost, both would choose their own witnesses.
    claim_fleet hosts(7);
    for (std::size_t cut = 1; cut < 7; ++cut) {
        auto const side = [cut](std::string const& name) {
            return static_cast<std::size_t>(name.back() - '0') < cut;
        };
        hosts.is_delivered =
            [side](auto const& from, auto const& to, auto const&) {
                return side(from) == side(to);
            };
        int const before = hosts.runs();
        for (auto const& name : hosts.names()) {
            hosts.book(name);
        }
        hosts.advance(3s);
        CHECK(hosts.runs() - before <= 1);
        hosts.is_delivered = [](auto const&, auto const&, auto const&) {
            return true;
        };
        hosts.advance(700s);
    }
    CHECK(hosts.runs() > 0);
}

TEST_CASE("a host with a quorum resumes after a long pause")
{
    // The process is stopped after `claim_proceed`. Meanwhile the claim expires
    // at the witnesses, and another host runs the call.
    claim_fleet hosts(7);
    hosts.start("host-0");
    REQUIRE(hosts.last<fleet::claim_proceed>("host-0") != nullptr);
    hosts.paused.insert("host-0");
    hosts.advance(601s);
    CHECK(hosts.book("host-1"));
    hosts.paused.clear();
    SUBCASE("and dispatches immediately")
    {
    }
    SUBCASE("and gets its list confirmed first")
    {
        hosts.confirm("host-0");
    }
    CHECK_FALSE(hosts.dispatch("host-0"));
    hosts.end("host-0", model::outcome::not_run);
    CHECK(hosts.last<fleet::claim_not_run>("host-0") == nullptr);
    CHECK(hosts.runs() == 1);
}

TEST_CASE("a paused witness grants no vote before its list is confirmed")
{
    // Its list may be outdated and its vote held by another host.
    claim_fleet hosts(7);
    auto const witnesses = hosts.witnesses();
    for (std::size_t index = 0; index < 3; ++index) {
        hosts.paused.insert(witnesses[index]);
    }
    hosts.advance(10s);
    hosts.paused.clear();
    std::string entry;
    for (auto const& name : hosts.names()) {
        bool const was_paused = name == witnesses[0] || name == witnesses[1]
                                || name == witnesses[2];
        entry = was_paused ? entry : name;
    }
    CHECK_FALSE(hosts.book(entry));
    hosts.advance(3s);
    CHECK(hosts.book(entry));
}

TEST_CASE("every host is replaced, one after the other")
{
    // Rolling replacement: each host announces its stop, hands its votes over,
    // and is removed from the list when its replacement is added. The votes and
    // the claim of the earlier booking must survive every step.
    claim_fleet hosts(7);
    CHECK(hosts.book("host-0"));
    auto names = hosts.listed();
    for (auto const& old : hosts.names()) {
        hosts.stop(old);
        CHECK(hosts.votes() == 5);
        std::string const replacement = "next-" + old;
        names.erase(old);
        names.insert(replacement);
        hosts.list(names);
        hosts.run(replacement);
        hosts.adopt_all();
        hosts.kill(old);
        hosts.advance(1s);
        CHECK_FALSE(hosts.book(replacement));
    }
    CHECK(hosts.votes() == 5);
    CHECK(hosts.runs() == 1);
}

TEST_CASE("every host restarts in place, one after the other")
{
    // Upgrade in place: each host stops as planned and restarts under its name
    // before the platform's list changes. If its handed-over votes were not
    // returned, every booking would lack a quorum for hours although all hosts
    // run.
    claim_fleet hosts(7);
    CHECK(hosts.book("host-0"));
    for (auto const& name : hosts.names()) {
        hosts.stop(name);
        hosts.kill(name);
        hosts.run(name);
        hosts.report_restart(name);
        hosts.list(hosts.listed());
        hosts.adopt_all();
        hosts.advance(1s);
        CHECK(hosts.votes() == 5);
        CHECK_FALSE(hosts.book(name));
    }
    CHECK(hosts.runs() == 1);
    CHECK(hosts.could_book_other("host-1"));
}

TEST_CASE("lists lag differently on each host")
{
    // Two hosts replace two others. Each host adopts the list at another time,
    // and a caller sends the call to all of them at every step.
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

TEST_CASE("a witness that can't hand over loses its vote")
{
    // The stop is interrupted: the vote is lost but never duplicated.
    claim_fleet hosts(7);
    auto const leaving = hosts.witnesses().front();
    hosts.is_delivered = [&](auto const& from, auto const&, auto const&) {
        return from != leaving;
    };
    hosts.stop(leaving);
    CHECK(hosts.votes() == 4);
    hosts.advance(40s);
    CHECK(hosts.votes() == 4);
    std::string const entry = hosts.witnesses()[1];
    CHECK(hosts.book(entry));
}

TEST_CASE("a host whose list is unconfirmed for the lease loses its votes")
{
    // Cut off from the service and its peers, the host may have been removed
    // from the list, and its votes are recreated elsewhere.
    fleet::claim_settings settings;
    settings.view_lease = 20s;
    settings.retention = 30s;
    settings.transfer_lease = 2s;
    settings.maturity = settings.min_maturity();
    claim_fleet hosts(7, settings);
    auto const isolated = hosts.witnesses().front();
    hosts.paused.insert(isolated);
    hosts.advance(21s);
    hosts.paused.clear();
    hosts.tick(isolated);
    CHECK(hosts.votes() == 4);
    hosts.confirm(isolated);
    CHECK(hosts.votes() == 4);
    hosts.advance(settings.maturity + 1s);
    CHECK(hosts.book(isolated));
    CHECK(hosts.votes() == 5);
}

TEST_CASE("a lost release doesn't block the key")
{
    // The call was answered "not run", but the witnesses still store its claim
    // when it is resent to another host.
    claim_fleet hosts(7);
    hosts.start("host-0");
    hosts.is_delivered = [](auto const&, auto const&, auto const& message) {
        return !std::holds_alternative<fleet::claim_release>(message);
    };
    hosts.end("host-0", model::outcome::not_run);
    hosts.is_delivered = [](auto const&, auto const&, auto const&) {
        return true;
    };
    CHECK_FALSE(hosts.book("host-1"));
    CHECK(hosts.last<fleet::claim_unknown>("host-1") != nullptr);
    CHECK(hosts.book("host-1"));
}

TEST_CASE("a claim that waits longer than its lease is released")
{
    claim_fleet hosts(7);
    hosts.start("host-0");
    hosts.advance(61s);
    CHECK(hosts.last<fleet::claim_not_run>("host-0") != nullptr);
    CHECK_FALSE(hosts.dispatch("host-0"));
    CHECK(hosts.book("host-1"));
}

TEST_CASE("two hosts need each other for a quorum, and one needs none")
{
    claim_fleet pair(2);
    CHECK(pair.book("host-0"));
    pair.kill("host-1");
    pair.advance(601s);
    CHECK_FALSE(pair.book("host-0"));
    claim_fleet single(1);
    CHECK(single.book("host-0"));
}

TEST_CASE("the loss of a data centre leaves a majority of the votes")
{
    // Three data centres with three, two and two hosts; any of them may fail.
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
        for (auto const& [data_centre, count] : lost) {
            CHECK(count <= 2);
        }
    }
}

TEST_CASE("a leaving host's vote skips a crashed successor")
{
    // The next host in rank has crashed, and the list still contains it. A vote
    // that waited for it would be lost with the leaving host.
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
    hosts.advance(5s);
    CHECK(hosts.votes() == 5);
    hosts.kill(leaving);
    CHECK(hosts.book(staying.back()));
}

TEST_CASE("hosts stop faster than the list is updated")
{
    // An operator stops three hosts within seconds of each other. The list
    // still contains all of them, and they choose the same successor, which can
    // hold only one vote. A majority of the votes must remain.
    claim_fleet hosts(8);
    CHECK(hosts.book("host-0"));
    auto const order = hosts.witnesses();
    for (std::size_t index = 0; index < 3; ++index) {
        hosts.stop(order[index]);
        hosts.advance(5s);
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
    hosts.advance(601s);
    CHECK(hosts.book(order[3]));
}
