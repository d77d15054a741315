#include "routing/peer_table.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace caperjunction;
using namespace std::chrono_literals;
using routing::peer_digest;
using routing::peer_table;

namespace {

model::time_point const start{std::chrono::hours(1)};
constexpr std::uint64_t engine = 7;

/// Hosts that tell each other through their tables alone, without sockets;
/// each has one request on the same engine.
class gossip
{
public:
    gossip(int hosts, int centres)
    {
        std::vector<model::endpoint> const seeds{
            at(0), at(hosts / 2), at(hosts - 1)};
        for (int number = 0; number < hosts; ++number) {
            auto const centre = static_cast<std::uint64_t>(number % centres);
            m_hosts.push_back(
                {at(number), centre, peer_table(at(number), centre, seeds)});
        }
    }

    static model::endpoint at(int number)
    {
        return {"10." + std::to_string(number / 200) + ".0."
                    + std::to_string(number % 200),
                7'000};
    }

    /// One round of digests from each host, 200 ms after the last.
    void round()
    {
        m_now += 200ms;
        ++m_sequence;
        for (member& host : m_hosts) {
            if (host.is_down) {
                continue;
            }
            host.table.forget_silent(m_now);
            peer_digest own;
            own.generation = 1;
            own.sequence = m_sequence;
            own.data_centre = host.centre;
            own.revisions.upstreams = host.revision;
            own.loads = {{engine, {1, 100, 0}, {}}};
            if (suspects_of) {
                own.suspects = suspects_of();
            }
            auto const news = host.table.make_digests(own);
            for (auto const& to : host.table.recipients(
                     m_now, {host.revision}, has_load_change)) {
                peer_digest told = news.of(to.kind);
                told.requests_reply = to.requests_reply;
                if (to.wants_neighbours) {
                    told.neighbours =
                        host.table.neighbours_for(to.at, 16, m_draw += 7);
                }
                ++sent;
                sent_far +=
                    to.at == host.self || centre_of(to.at) == host.centre ? 0
                                                                          : 1;
                most_suspects = std::max(most_suspects, told.suspects.size());
                deliver(host.self, to.at, told);
            }
        }
        for (member& host : m_hosts) {
            host.table.aggregate();
        }
    }

    model::time_point now() const
    {
        return m_now;
    }

    void rounds(int count)
    {
        for (int step = 0; step < count; ++step) {
            round();
        }
    }

    struct member
    {
        model::endpoint self;
        std::uint64_t centre;
        peer_table table;
        std::uint64_t revision = 1;
        bool is_down = false;
    };

    std::vector<member>& hosts()
    {
        return m_hosts;
    }

    /// What the next host suspects.
    std::function<std::vector<routing::crash_suspect>()> suspects_of;
    /// All loads are news in each round.
    bool has_load_change = false;
    std::size_t sent = 0;
    /// Those that crossed between data centres.
    std::size_t sent_far = 0;
    std::size_t most_suspects = 0;

private:
    std::uint64_t centre_of(model::endpoint const& address) const
    {
        auto const found =
            std::find_if(m_hosts.begin(), m_hosts.end(), [&](auto const& it) {
                return it.self == address;
            });
        return found->centre;
    }

    void deliver(model::endpoint const& from,
                 model::endpoint const& to,
                 peer_digest const& told)
    {
        for (member& host : m_hosts) {
            if (host.self == to && !host.is_down) {
                host.table.record_digest(from, told, m_now);
            }
        }
    }

    std::vector<member> m_hosts;
    model::time_point m_now = start;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_draw = 0;
};

} // namespace

// Each host used to name the same sixteen others, the first by address. In a
// fleet of 71 most hosts never heard of their neighbours: engines were
// believed to hold a third of what they held, and callers waited in queues
// that no host knew of.
TEST_CASE("each host of a fleet learns of all, and of what all have sent")
{
    struct size
    {
        int hosts = 0;
        int centres = 0;
    };

    for (size const& of : std::vector<size>{
             {2, 1}, {7, 3}, {11, 3}, {13, 3}, {30, 1}, {71, 6}, {150, 21}}) {
        int const count = of.hosts;
        int const centres = of.centres;
        CAPTURE(count);
        gossip fleet(count, centres);
        fleet.rounds(30);
        int readers = 0;
        for (gossip::member& host : fleet.hosts()) {
            CHECK(host.table.alive() == static_cast<std::size_t>(count - 1));
            CHECK(host.table.load_of(engine).load.running
                  == static_cast<std::uint32_t>(count - 1));
            readers += host.table.is_store_watcher() ? 1 : 0;
        }
        int const wanted = count <= 12 ? count : std::max(5, centres);
        CHECK(readers >= wanted);
        CHECK(readers < wanted + centres);
    }
}

// What a host sends and hears must follow its data centre, not the fleet:
// else 300 hosts fill their links with words about themselves.
TEST_CASE("digests of a large fleet follow the size of data centres")
{
    gossip fleet(150, 21);
    fleet.rounds(30);
    std::size_t const before = fleet.sent;
    fleet.rounds(10);
    double const of_each = static_cast<double>(fleet.sent - before) / 10 / 150;
    // Six neighbours; and one or two of a centre's seven tell the others.
    CHECK(of_each < 14.0);
}

// A rack goes, and with it the host that spoke for its data centre. Loads of
// the dead would keep requests away from engines that are free.
TEST_CASE("hosts that are lost are forgotten, and another speaks for them")
{
    gossip fleet(71, 6);
    fleet.rounds(30);
    std::uint32_t left = 0;
    for (gossip::member& host : fleet.hosts()) {
        host.is_down = host.table.is_aggregator() || host.self == gossip::at(0)
                       || host.self == gossip::at(35)
                       || host.self == gossip::at(70);
        left += host.is_down ? 0 : 1;
    }
    fleet.rounds(50);
    for (gossip::member& host : fleet.hosts()) {
        if (!host.is_down) {
            CHECK(host.table.alive() == left - 1);
            CHECK(host.table.load_of(engine).load.running == left - 1);
        }
    }
}

// A published change is in force only where it is known. One host has read
// it; a second later each must know whom to ask for it.
TEST_CASE("a change is heard of everywhere within a second")
{
    gossip fleet(71, 6);
    fleet.rounds(30);
    fleet.hosts()[20].revision = 2;
    for (int step = 0; step < 5; ++step) {
        fleet.round();
        for (gossip::member& host : fleet.hosts()) {
            // It is fetched from whoever has it.
            if (host.table
                    .newer_than(
                        {host.revision}, routing::list_kind::upstreams, 0)
                    .at
                != nullptr) {
                host.revision = 2;
            }
        }
    }
    for (gossip::member& host : fleet.hosts()) {
        CHECK(host.revision == 2);
    }
}

// Engines crash under load, and every request that ran there is suspect on
// its host. If all of them were told on, digests would fill narrow links, and
// what they say of loads would be lost just when it is needed.
TEST_CASE("digests stay small when many requests are suspect")
{
    gossip fleet(30, 3);
    fleet.rounds(20);
    std::uint64_t fingerprint = 0;
    fleet.suspects_of = [&fingerprint] {
        std::vector<routing::crash_suspect> list(32);
        for (routing::crash_suspect& item : list) {
            item = {++fingerprint, 1};
        }
        return list;
    };
    fleet.rounds(5);
    CHECK(fleet.most_suspects <= 100);
}

// One request breaks the engines that run it, and its caller sends it to
// another host each time. No host sees more than one crash; together they
// have to stop it.
TEST_CASE("crashes that different data centres saw are added up")
{
    gossip fleet(30, 3);
    fleet.rounds(20);
    int asked = 0;
    fleet.suspects_of = [&asked]() -> std::vector<routing::crash_suspect> {
        bool const saw_it = asked++ % 30 < 3;
        return saw_it ? std::vector<routing::crash_suspect>{{42, 1}}
                      : std::vector<routing::crash_suspect>{};
    };
    fleet.rounds(6);
    int place = 0;
    for (gossip::member const& host : fleet.hosts()) {
        std::uint32_t const own = place++ < 3 ? 1 : 0;
        CHECK(own + host.table.crashes_of(42) == 3);
    }
}

// A fleet starts, and thousands of upstreams are published within seconds. If
// the one host that has read them told all its neighbours at once, all would
// ask it, and its narrow link would hold up routes and keys for half a minute.
TEST_CASE("a change has several sources before all of a data centre hear of it")
{
    gossip fleet(61, 1);
    fleet.rounds(30);
    gossip::member& reader = fleet.hosts()[7];
    reader.revision = 2;
    auto const told =
        reader.table.recipients_of_change(fleet.now(), {reader.revision}, 5);
    CHECK(told.size() >= 8);
    CHECK(told.size() <= 20);
}

// Changes are told between the usual digests, and each digest replaces the one
// before it. Without the loads in it, hosts would take busy engines for free
// ones for a moment after each change, just when engines come and go.
TEST_CASE("a digest that tells of a change leaves no loads out")
{
    gossip fleet(71, 6);
    fleet.rounds(30);
    int speakers_told = 0;
    for (gossip::member& host : fleet.hosts()) {
        if (!host.table.is_aggregator()) {
            continue;
        }
        auto const told = host.table.recipients_of_change(fleet.now(), {2}, 0);
        for (auto const& to : told) {
            speakers_told +=
                to.kind == routing::digest_kind::aggregated_loads ? 1 : 0;
        }
    }
    // Each of six tells five.
    CHECK(speakers_told == 30);
}

// Between data centres bytes are narrow and paid for. Told by the clock alone,
// loads took as many of them as the requests of a small fleet; callers of a
// burst still need every host to know at once what the others have sent.
TEST_CASE("loads cross between data centres when they change")
{
    constexpr int hosts = 8;
    constexpr int rounds_of_ten_seconds = 50;
    gossip fleet(hosts, 3);
    fleet.rounds(30);
    fleet.sent_far = 0;
    fleet.rounds(rounds_of_ten_seconds);
    // Of 8 hosts in 3 data centres, 42 pairs stand apart.
    CHECK(fleet.sent_far <= std::size_t{42} * 13);
    CHECK(fleet.sent_far >= std::size_t{42} * 12);
    fleet.has_load_change = true;
    fleet.sent_far = 0;
    fleet.round();
    CHECK(fleet.sent_far == 42);
}

// Where the store stands moves on all the time. Told of it at once, other data
// centres would get a digest for each step, over links that are paid for.
TEST_CASE("a confirmation alone is no news for other data centres")
{
    gossip fleet(71, 6);
    fleet.rounds(30);
    auto const told_far = [&fleet](gossip::member& host,
                                   routing::store_revisions const& known) {
        auto const told = host.table.recipients(fleet.now(), known, false);
        return std::count_if(told.begin(), told.end(), [](auto const& to) {
            return to.kind == routing::digest_kind::presence;
        });
    };
    std::size_t relaying = 0;
    for (gossip::member& host : fleet.hosts()) {
        if (!host.table.is_gateway()) {
            continue;
        }
        ++relaying;
        told_far(host, {2, 1, 2});
        CHECK(told_far(host, {2, 1, 9}) == 0);
        CHECK(told_far(host, {2, 3, 9}) > 0);
    }
    CHECK(relaying == 12);
}
