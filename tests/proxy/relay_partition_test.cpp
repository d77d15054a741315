#include "proxy/host_fleet.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

/// Cuts `cut` hosts of a fleet from all upstreams in the way of `state`, plays
/// requests at all hosts, and checks what callers got at first tries from a
/// second after the cut on.
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

    std::size_t sent = 0;
    std::size_t served = 0;
    std::vector<double> shares;
    for (std::size_t host = 0; host < data_centres.size(); ++host) {
        sent += fleet.sent(host, noticed);
        served += fleet.served(host, noticed);
        shares.push_back(static_cast<double>(fleet.served(host, noticed))
                         / static_cast<double>(fleet.sent(host, noticed)));
        CAPTURE(host);
        CHECK(shares.back() >= 2.0 / 3.0);
    }
    CHECK(sent - served <= 10 + sent / 50);
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
