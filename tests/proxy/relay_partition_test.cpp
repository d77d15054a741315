#include "proxy/host_fleet.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

/// Checks what callers got at first tries from `since` on.
void check_first_tries(host_fleet const& fleet, model::time_point since)
{
    std::size_t sent = 0;
    std::size_t served = 0;
    for (std::size_t host = 0; host < fleet.hosts.size(); ++host) {
        auto const sent_here = fleet.sent(host, since);
        auto const served_here = fleet.served(host, since);
        CAPTURE(host);
        CHECK(served_here * 3 >= sent_here * 2);
        sent += sent_here;
        served += served_here;
    }
    CHECK(sent - served <= 10 + sent / 50);
}

/// Checks that no booking ran twice, and that what was said not to have run has
/// not.
void check_runs(host_fleet const& fleet)
{
    for (first_try const& item : fleet.tries) {
        CAPTURE(item.id);
        auto const runs = fleet.runs_of(item.id);
        CHECK((item.says_not_run() ? runs == 0 : runs <= 2));
    }
    for (auto const& upstream : fleet.upstreams) {
        for (received const& request : upstream->requests) {
            if (request.head.target.rfind("/book/", 0) == 0) {
                CHECK(fleet.runs_of(*request.head.find("Attempt-Id")) == 1);
            }
        }
    }
}

/// Cuts `cut` hosts of a fleet from all upstreams in the way of `state`, plays
/// requests at all hosts, and checks what callers got from a second after the
/// cut on.
void check_partition(std::vector<std::string> const& data_centres,
                     std::vector<std::size_t> const& cut,
                     path_state state)
{
    host_fleet fleet(data_centres, 5);
    std::vector<std::string> const paths{"/book/", "/view/", "/stream/"};
    fleet.play(300ms, paths);
    for (std::size_t const host : cut) {
        fleet.set_links(host, state);
    }
    fleet.play(1'000ms, paths);
    auto const noticed = fleet.loop.now();
    fleet.play(1'500ms, paths);
    fleet.run_for(1'600ms);
    check_first_tries(fleet, noticed);
    check_runs(fleet);
}

/// Plays the partition in each way.
void check_partitions(std::vector<std::size_t> const& cut)
{
    for (path_state const state : {path_state::silent,
                                   path_state::resetting,
                                   path_state::refusing_new}) {
        CAPTURE(static_cast<int>(state));
        check_partition({"a", "a", "b", "b"}, cut, state);
    }
}

} // namespace

// Guards against callers being refused by a host that has lost its links to all
// upstreams, while hosts beside it reach them.
TEST_CASE("callers of a host without links to the upstreams are served")
{
    check_partitions({0});
}

// Guards against the same where the balancer can't avoid the hosts.
TEST_CASE("callers are served while most hosts have no links to the upstreams")
{
    check_partitions({0, 1, 2});
}

// Guards against help being sought in the own data centre only.
TEST_CASE("callers of a data centre without links to the upstreams are served")
{
    check_partitions({0, 1});
}
