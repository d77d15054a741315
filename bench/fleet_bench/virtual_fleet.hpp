#ifndef CAPERJUNCTION_BENCH_FLEET_BENCH_VIRTUAL_FLEET_HPP
#define CAPERJUNCTION_BENCH_FLEET_BENCH_VIRTUAL_FLEET_HPP

#include "bench/fleet_bench/virtual_host.hpp"
#include "bench/fleet_bench/virtual_service.hpp"
#include "fleet/agent_settings.hpp"
#include "model/host_list.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace caperjunction::bench {

struct virtual_fleet_settings
{
    /// Copied for each host; names, regions and seeds are filled in.
    fleet::agent_settings agent;
    model::milliseconds latency_in_region{1};
    model::milliseconds latency_across{30};
    /// Between the service and a host.
    model::milliseconds service_latency{5};
    /// How often each host is woken.
    model::milliseconds tick{100};
    std::uint64_t seed = 1;
    /// Bytes of a message on the wire; unset counts none.
    std::function<std::size_t(fleet::peer_message const&)> size_of;
    /// Period and size of the load digests; size 0 sends none.
    model::milliseconds digest_period{500};
    std::size_t digest_bytes = 0;
};

/// Many real agents in one process and in virtual time, on links that behave
/// as TCP: in order, held while the far end is paused, lost when cut.
///
/// Thread safety: none.
class virtual_fleet
{
public:
    explicit virtual_fleet(virtual_fleet_settings settings);

    /// Lists a host; the list is published with the next `publish_hosts`.
    void add_host(std::string const& name, std::string const& region);
    void unlist_host(std::string const& name);
    void publish_hosts();
    void publish(fleet::published_value value, std::string body);

    void start(std::string const& name);
    void start_all();
    /// The process ends without a word.
    void crash(std::string const& name);
    /// As a planned stop begins.
    void leave(std::string const& name);
    void pause(std::string const& name);
    void resume(std::string const& name);
    /// Cuts messages from one host to the other, in this direction only.
    void cut(std::string const& from, std::string const& to);
    void heal(std::string const& from, std::string const& to);
    void heal_all();

    /// Gives one host an event of its own.
    void tell(std::string const& name, fleet::agent_event const& event);

    void run_for(model::milliseconds time);

    model::time_point now() const
    {
        return m_now;
    }

    virtual_service& service()
    {
        return m_service;
    }

    virtual_host& host(std::string const& name)
    {
        return m_hosts.at(name);
    }

    std::map<std::string, virtual_host> const& hosts() const
    {
        return m_hosts;
    }

    std::vector<observed_change> const& changes() const
    {
        return m_changes;
    }

    std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    using action = std::function<void()>;

    void at(model::time_point when, action run);
    void tick(std::string const& name, std::uint64_t process);
    void make_digest(std::string const& name, std::uint64_t process);
    void give(virtual_host& to, fleet::agent_event const& event);
    void take(virtual_host& from, fleet::agent_output const& output);
    void carry(virtual_host& from, fleet::send_message const& sent);
    void deliver(std::string const& from,
                 std::string const& to,
                 std::uint64_t process,
                 fleet::peer_message const& message);
    void open_watch(virtual_host& from, fleet::watch_value const& watch);
    void serve_watch(virtual_service::waiting const& waiting);
    void answer(virtual_service::waiting const& waiting,
                fleet::agent_event const& event);
    void serve_waiting();
    model::milliseconds latency(std::string const& from,
                                std::string const& to) const;

    virtual_fleet_settings m_settings;
    std::mt19937_64 m_random;
    model::time_point m_now{std::chrono::hours(1)};
    std::multimap<model::time_point, action> m_actions;
    std::map<std::string, virtual_host> m_hosts;
    std::set<std::string> m_listed;
    std::set<std::pair<std::string, std::string>> m_cuts;
    /// Keeps messages on one connection in order.
    std::map<std::pair<std::string, std::string>, model::time_point> m_arrivals;
    std::map<std::uint64_t, model::host_list> m_lists;
    std::vector<observed_change> m_changes;
    virtual_service m_service;
    std::uint64_t m_revision = 0;
};

/// Faults of a body are the word "bad" in it; the two lists check together
/// if the text after "pair" is equal in both. For tests and the bench.
std::vector<lists::fault> check_by_words(fleet::value_bodies const& bodies);

} // namespace caperjunction::bench

#endif
