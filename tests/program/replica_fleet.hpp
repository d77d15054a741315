#ifndef CAPERJUNCTION_TESTS_PROGRAM_REPLICA_FLEET_HPP
#define CAPERJUNCTION_TESTS_PROGRAM_REPLICA_FLEET_HPP

#include "program/replica_host.hpp"
#include "routing/by_address.hpp"
#include "routing/fetch_scheduler.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace caperjunction::test {

using namespace std::chrono_literals;

/// A store's items, and the changes that led there.
struct stored_state
{
    std::map<std::string, proxy::store_item> items;
    std::vector<proxy::store_item> changes;
    std::uint64_t revision = 100;
};

/// Hosts with replicas of one store that exchange digests and lists on the test
/// clock, without sockets.
class replica_fleet
{
public:
    replica_fleet(std::size_t hosts, std::size_t data_centres);

    /// A host. Without a process it has no `state`.
    struct member
    {
        model::endpoint self;
        std::uint64_t data_centre = 0;
        std::uint64_t generation = 0;
        std::uint64_t sequence = 0;
        std::unique_ptr<replica_host> state;
        routing::fetch_scheduler scheduler;
        routing::store_position read_up_to;
        bool is_frozen = false;
        bool is_cut = false;
        model::time_point starts_at = model::time_point::max();
        /// When it last came out of a kill, freeze or cut.
        model::time_point undisturbed_since{};

        struct fetch
        {
            model::time_point due{};
            std::size_t from = 0;
            routing::store_position since;
        };

        std::optional<fetch> fetching;
    };

    std::vector<member>& hosts()
    {
        return m_hosts;
    }

    void run_for(model::milliseconds time);

    /// Ends a process; another one starts after `down_for`.
    void kill(std::size_t host, model::milliseconds down_for);
    void set_frozen(std::size_t host, bool is_frozen);
    void set_cut(std::size_t host, bool is_cut);

    /// Writes the entry of an upstream, or, with `draining`, that it leaves.
    void write(std::string const& id, std::string const& state = "ready");

    /// Removes the entry of an upstream.
    void remove(std::string const& id);

    /// Comes back from a copy of `age` ago. What it lacks is written again
    /// after `written_after`.
    void go_back(model::milliseconds age, model::milliseconds written_after);

    /// Longest time from a leave to its upstream's last use at a host that had
    /// not been disturbed for `contact`.
    model::milliseconds longest_use(model::milliseconds contact) const;

    /// Complete reads of the store so far.
    std::size_t reads = 0;

private:
    struct departure
    {
        std::string id;
        model::time_point at{};
        /// Last use at each host, and since when it was undisturbed then.
        std::map<std::size_t, std::pair<model::time_point, model::time_point>>
            uses;
    };

    struct write_again
    {
        model::time_point due{};
        proxy::store_item item;
    };

    void step();
    void change(proxy::store_item item);
    void start(member& host);
    void read_store(member& host);
    void watch_store(member& host);
    void send_digests(std::size_t number);
    void fetch(member& host);
    void end_fetch(member& host);
    void record_uses();

    static bool runs(member const& host)
    {
        return host.state != nullptr && !host.is_frozen;
    }

    static bool is_reachable(member const& host)
    {
        return runs(host) && !host.is_cut;
    }

    model::time_point m_now{std::chrono::hours(1)};
    runtime::event_loop m_loop{runtime::clock{[this] {
        return m_now;
    }}};
    std::minstd_rand m_random{7};
    std::vector<member> m_hosts;
    std::map<model::endpoint, std::size_t, routing::by_address> m_numbers;
    std::vector<model::endpoint> m_seeds;
    std::vector<departure> m_departures;
    std::uint64_t m_era = 1;
    stored_state m_store;
    std::map<model::time_point, stored_state> m_copies;
    std::vector<write_again> m_lost;
};

} // namespace caperjunction::test

#endif
