#ifndef CAPERJUNCTION_BENCH_FLEET_BENCH_VIRTUAL_HOST_HPP
#define CAPERJUNCTION_BENCH_FLEET_BENCH_VIRTUAL_HOST_HPP

#include "fleet/agent.hpp"
#include "model/host.hpp"
#include "model/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace caperjunction::bench {

/// Something that one host told of another, and when.
struct observed_change
{
    model::time_point at{};
    std::string observer;
    fleet::host_changed told;
};

/// One host of the virtual fleet, and what was seen of it.
struct virtual_host
{
    model::host host;
    /// Null while the process is not running.
    std::unique_ptr<fleet::agent> agent;
    /// Counts the starts.
    std::uint64_t process = 0;
    bool paused = false;
    /// What came in while it was paused.
    std::vector<fleet::agent_event> held;
    /// Peers whose process a connection has been made to.
    std::map<std::string, std::uint64_t> connected;

    /// Revisions in force and when each came into force, by value.
    std::array<std::vector<std::pair<std::uint64_t, model::time_point>>,
               fleet::published_value_count>
        in_force;
    std::vector<fleet::value_refused> refused;
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    /// Bytes sent by index of the message's type.
    std::map<std::size_t, std::uint64_t> bytes_by_type;
};

} // namespace caperjunction::bench

#endif
