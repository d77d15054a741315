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

/// A change of one host that another host reported, and when.
struct observed_change
{
    model::time_point at{};
    std::string observer;
    fleet::host_changed event;
};

/// One host of the virtual fleet and its counters.
struct virtual_host
{
    model::host host;
    /// Null while the process is not running.
    std::unique_ptr<fleet::agent> agent;
    /// Number of starts; identifies the process.
    std::uint64_t process = 0;
    bool paused = false;
    /// Events that arrived during a pause.
    std::vector<fleet::agent_event> deferred_events;
    /// Process of each peer that the current connection leads to.
    std::map<std::string, std::uint64_t> connected_processes;

    /// Revisions that were in force and their start times, by value.
    std::array<std::vector<std::pair<std::uint64_t, model::time_point>>,
               fleet::published_value_count>
        in_force;
    std::vector<fleet::value_refused> refused;
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    /// Bytes sent by message type index.
    std::map<std::size_t, std::uint64_t> bytes_by_type;
};

} // namespace caperjunction::bench

#endif
