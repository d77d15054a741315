#ifndef CAPERJUNCTION_TESTS_FLEET_FIXTURE_HPP
#define CAPERJUNCTION_TESTS_FLEET_FIXTURE_HPP

#include "bench/fleet_bench/virtual_fleet.hpp"

#include <memory>
#include <string>
#include <vector>

namespace caperjunction::tests {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// Four hosts in one region, three in another: the size of the users' fleets.
inline std::vector<std::string> const seven{
    "a1", "a2", "a3", "a4", "b1", "b2", "b3"};

/// Creates seven hosts with a configuration in force, all running for ten
/// seconds.
inline std::unique_ptr<bench::virtual_fleet>
make_seven(bench::virtual_fleet_settings settings = {})
{
    auto made = std::make_unique<bench::virtual_fleet>(std::move(settings));
    for (std::string const& name : seven) {
        made->add_host(name, name.substr(0, 1));
    }
    made->publish_hosts();
    made->publish(fleet::published_value::plans, "plans pair 1");
    made->publish(fleet::published_value::entitlements, "uses pair 1");
    made->publish(fleet::published_value::upstreams, "upstreams 1");
    made->start_all();
    made->run_for(10s);
    return made;
}

inline fleet::host_state state_at(bench::virtual_fleet& fleet,
                                  std::string const& observer,
                                  std::string const& observed)
{
    auto const view = fleet.host(observer).agent->view();
    return view->find(observed)->state;
}

/// Returns how often any host has reported the host as lost.
inline std::size_t times_lost(bench::virtual_fleet const& fleet,
                              std::string const& name)
{
    std::size_t count = 0;
    for (bench::observed_change const& seen : fleet.changes()) {
        bool const lost = seen.event.change == fleet::host_change::lost;
        count += lost && seen.event.host == name ? 1 : 0;
    }
    return count;
}

} // namespace caperjunction::tests

#endif
