#ifndef CAPERJUNCTION_TESTS_PROGRAM_REPLICA_FLEET_HPP
#define CAPERJUNCTION_TESTS_PROGRAM_REPLICA_FLEET_HPP

#include "program/replica_host.hpp"
#include "routing/fetch_scheduler.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace caperjunction::test {

using namespace std::chrono_literals;

/// What the store holds, and all changes that led there.
struct stored_state
{
    std::map<std::string, proxy::store_item> items;
    std::vector<proxy::store_item> changes;
    std::uint64_t revision = 100;

    void write(proxy::store_item item);
};

/// Hosts with replicas of one store that exchange digests and lists on the test
/// clock, without sockets.
class replica_fleet
{
public:
    replica_fleet(std::size_t hosts,
                  std::size_t data_centres,
                  std::uint32_t seed);

    /// A host of the fleet. Without a process it has no `state`.
    struct member
    {
        model::endpoint self;
        std::uint64_t data_centre = 0;
        std::uint64_t generation = 0;
        std::uint64_t sequence = 0;
        std::unique_ptr<replica_host> state;
        routing::fetch_scheduler scheduler;
        std::uint64_t read_up_to = 0;
        bool has_read = false;
        bool is_frozen = false;
        bool is_cut = false;
        bool must_broadcast = false;
        /// When it was last killed, frozen or cut, or came out of that.
        model::time_point disturbed_at{};
        model::time_point starts_at = model::time_point::max();
        model::time_point next_digest{};
        model::time_point next_poll{};

        struct fetch
        {
            model::time_point due{};
            std::size_t from = 0;
            std::uint64_t since = 0;
        };

        std::optional<fetch> fetching;

        bool runs() const
        {
            return state != nullptr && !is_frozen;
        }

        bool is_reachable() const
        {
            return runs() && !is_cut;
        }
    };

    std::vector<member>& hosts()
    {
        return m_hosts;
    }

    model::time_point now() const
    {
        return m_now;
    }

    void run_for(model::milliseconds time);

    /// Ends a process; another one starts after `down_for`.
    void kill(std::size_t host, model::milliseconds down_for);
    void freeze(std::size_t host, bool is_frozen);
    void cut(std::size_t host, bool is_cut);

    /// Removes the entry of an upstream, as of an engine that never reports
    /// `draining`.
    void leave(std::string const& id);

    /// The longest time from a leave to the last use of its upstream at a host,
    /// counted from `contact` after the host was last disturbed.
    model::milliseconds longest_use(model::milliseconds contact) const;

    stored_state store;
    std::size_t upstreams_in_use_after_leaving = 0;

private:
    void step();
    void start(member& host);
    void read_store(member& host);
    void watch_store(member& host);
    void exchange(member& host);
    void send(member& host,
              std::vector<routing::peer_table::recipient> const& recipients);
    void fetch(member& host);
    void end_fetch(member& host);
    void record_uses();

    struct departure
    {
        std::string id;
        model::time_point at{};
        /// Last time at which each host used it, if it was in touch.
        std::map<std::size_t, model::time_point> used_at;
    };

    model::time_point m_now{std::chrono::hours(1)};
    runtime::event_loop m_loop{runtime::clock{[this] {
        return m_now;
    }}};
    std::minstd_rand m_random;
    std::vector<member> m_hosts;
    std::map<model::endpoint, std::size_t, routing::by_address> m_index;
    std::vector<model::endpoint> m_seeds;
    std::vector<departure> m_departures;
};

} // namespace caperjunction::test

#endif
