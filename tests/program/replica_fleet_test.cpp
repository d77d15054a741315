#include "program/replica_fleet.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

/// Of the deployments' sheets: time until a leave must be in force, and time
/// after which a host that was disturbed is held to that.
constexpr model::milliseconds drain_bound{4'000};
constexpr model::milliseconds contact{3'000};

struct fleet_size
{
    std::size_t hosts = 0;
    std::size_t data_centres = 0;
};

std::vector<fleet_size> sizes()
{
    return {{7, 3}, {68, 6}, {88, 7}, {295, 21}};
}

std::string id(int number)
{
    return "i-" + std::to_string(number);
}

/// An upstream leaves in each second; every second one says so first.
void leave(replica_fleet& fleet, int second)
{
    if (second % 2 == 0) {
        fleet.write(id(second), "draining");
    } else {
        fleet.remove(id(second));
    }
}

constexpr int seconds = 16;

void write_all(replica_fleet& fleet)
{
    for (int number = 0; number < seconds; ++number) {
        fleet.write(id(number));
    }
    fleet.run_for(2s);
}

} // namespace

// Guards against hosts that send to upstreams that have left, while others are
// killed, frozen and cut.
TEST_CASE("each leave is in force within the bound beside kills and cuts")
{
    for (fleet_size const& size : sizes()) {
        CAPTURE(size.hosts);
        replica_fleet fleet(size.hosts, size.data_centres);
        write_all(fleet);
        for (int second = 0; second < seconds; ++second) {
            for (std::size_t host = 0; host < size.hosts; ++host) {
                auto& member = fleet.hosts()[host];
                bool const watches =
                    member.state != nullptr
                    && member.state->context.peers.is_store_watcher();
                bool const is_hit = (host + 1) % 5 == 0 || watches;
                if (second == 2 && is_hit) {
                    fleet.kill(host, 600ms);
                }
                if ((second == 6 || second == 9) && host % 5 == 1) {
                    fleet.set_frozen(host, second == 6);
                }
                if ((second == 8 || second == 11) && host % 5 == 2) {
                    fleet.set_cut(host, second == 8);
                }
            }
            fleet.run_for(100ms);
            leave(fleet, second);
            fleet.run_for(900ms);
        }
        fleet.run_for(6s);
        auto const longest = fleet.longest_use(contact);
        MESSAGE(size.hosts << " hosts: longest use after a leave "
                           << longest.count() << " ms");
        CHECK(longest <= drain_bound);
    }
}

// The same with a store that comes back from copies; what they lack is written
// again, or never.
TEST_CASE("each leave is in force within the bound beside a store's returns")
{
    for (fleet_size const& size : sizes()) {
        CAPTURE(size.hosts);
        replica_fleet fleet(size.hosts, size.data_centres);
        write_all(fleet);
        std::size_t const before = fleet.reads;
        for (int second = 0; second < seconds; ++second) {
            leave(fleet, second);
            fleet.run_for(700ms);
            if (second == 3 || second == 8 || second == 9) {
                fleet.go_back(2'500ms, second == 8 ? 60s : 800ms);
            }
            fleet.run_for(300ms);
        }
        fleet.run_for(6s);
        auto const longest = fleet.longest_use(contact);
        MESSAGE(size.hosts << " hosts: longest use after a leave "
                           << longest.count() << " ms, complete reads "
                           << fleet.reads - before);
        CHECK(longest <= drain_bound);
        // The hosts that watch the store, at each of three returns.
        std::size_t const watchers =
            size.hosts <= 12 ? size.hosts : size.data_centres * 2;
        CHECK(fleet.reads - before <= 3 * watchers);
    }
}
