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
    /// Template for each host; names, regions and seeds are filled in.
    fleet::agent_settings agent;
    model::milliseconds latency_in_region{1};
    model::milliseconds latency_across{30};
    /// Latency between the service and a host.
    model::milliseconds service_latency{5};
    /// Interval between ticks of a host.
    model::milliseconds tick{100};
    std::uint64_t seed = 1;
    /// Returns the encoded size of a message in bytes. If unset, bytes are not
    /// counted.
    std::function<std::size_t(fleet::peer_message const&)> size_of;
    /// Period and size of the load digests; no digests are sent if the size
    /// is 0.
    model::milliseconds digest_period{500};
    std::size_t digest_bytes = 0;
};

/// Many production agents in one process and in virtual time. Links behave like
/// TCP connections: messages arrive in order, wait while the receiver is
/// paused, and are lost if the link is cut.
///
/// Thread safety: none.
class virtual_fleet
{
public:
    explicit virtual_fleet(virtual_fleet_settings settings);

    /// Adds a host to the list. `publish_hosts` publishes the list.
    void add_host(std::string const& name, std::string const& region);
    void unlist_host(std::string const& name);
    void publish_hosts();
    void publish(fleet::published_value value, std::string body);

    void start(std::string const& name);
    void start_all();
    /// Ends the process without notice.
    void crash(std::string const& name);
    /// Starts a planned stop.
    void leave(std::string const& name);
    void pause(std::string const& name);
    void resume(std::string const& name);
    /// Drops messages from one host to the other, in this direction only.
    void cut(std::string const& from, std::string const& to);
    void heal(std::string const& from, std::string const& to);
    void heal_all();

    /// Passes an event directly to one host.
    void inject_event(std::string const& name, fleet::agent_event const& event);

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
    void handle_event(virtual_host& to, fleet::agent_event const& event);
    void execute(virtual_host& from, fleet::agent_output const& output);
    void send(virtual_host& from, fleet::send_message const& sent);
    void deliver(std::string const& from,
                 std::string const& to,
                 std::uint64_t process,
                 fleet::peer_message const& message);
    void open_watch(virtual_host& from, fleet::watch_value const& watch);
    void serve_watch(virtual_service::pending_watch const& pending);
    void answer(virtual_service::pending_watch const& pending,
                fleet::agent_event const& event);
    void serve_pending_watches();
    model::milliseconds latency(std::string const& from,
                                std::string const& to) const;

    virtual_fleet_settings m_settings;
    std::mt19937_64 m_random;
    model::time_point m_now{std::chrono::hours(1)};
    std::multimap<model::time_point, action> m_actions;
    std::map<std::string, virtual_host> m_hosts;
    std::set<std::string> m_listed;
    std::set<std::pair<std::string, std::string>> m_cuts;
    /// Latest arrival per connection; keeps its messages in order.
    std::map<std::pair<std::string, std::string>, model::time_point> m_arrivals;
    std::map<std::uint64_t, model::host_list> m_lists;
    std::vector<observed_change> m_changes;
    virtual_service m_service;
    std::uint64_t m_revision = 0;
};

/// Reports a fault for each body that contains "bad", and a mismatch if the
/// text after "pair" differs between plans and entitlements. For tests and
/// benchmarks.
std::vector<lists::fault> check_by_keywords(fleet::value_bodies const& bodies);

} // namespace caperjunction::bench

#endif
