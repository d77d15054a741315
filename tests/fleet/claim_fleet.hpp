#ifndef CAPERJUNCTION_TESTS_FLEET_CLAIM_FLEET_HPP
#define CAPERJUNCTION_TESTS_FLEET_CLAIM_FLEET_HPP

#include "fleet/claimant.hpp"
#include "fleet/witness.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace caperjunction {

/// Simulated hosts with witnesses and claimants, virtual time and links that a
/// test can cut. Messages are delivered immediately and in order.
class claim_fleet
{
public:
    struct host_decision
    {
        std::string host;
        fleet::claim_decision decision;
    };

    explicit claim_fleet(std::size_t count,
                         fleet::claim_settings const& settings = {})
        : m_settings(settings)
    {
        for (std::size_t index = 0; index < count; ++index) {
            m_listed.insert("host-" + std::to_string(index));
        }
        m_list = make_list();
        for (auto const& name : m_listed) {
            run(name, true);
        }
    }

    static fleet::claim_key key(std::string const& text = "booking-1")
    {
        return fleet::make_claim_key("sapporo", text);
    }

    void start(std::string const& host, std::uint64_t body = 1)
    {
        fleet::claim_started const event{key(), body, ++m_tickets};
        handle_event(host, fleet::claimant_event(event));
        deliver_all();
    }

    /// Dispatches the call as the entry host does after `claim_proceed`.
    /// Returns true if it ran.
    bool dispatch(std::string const& host)
    {
        bool const allowed =
            m_hosts.at(host).claimant.begin_dispatch(key(), now);
        m_runs += allowed ? 1 : 0;
        return allowed;
    }

    void end(std::string const& host, model::outcome outcome)
    {
        fleet::claim_ended const event{key(), outcome};
        handle_event(host, fleet::claimant_event(event));
        deliver_all();
    }

    /// Starts the call, dispatches it after `claim_proceed`, and ends it.
    /// Returns whether it ran.
    bool book(std::string const& host)
    {
        start(host);
        bool const ran = last<fleet::claim_proceed>(host) && dispatch(host);
        if (ran) {
            end(host, model::outcome::ran);
        }
        return ran;
    }

    void kill(std::string const& host)
    {
        m_hosts.erase(host);
    }

    /// Starts a new process of that name, listed or not.
    void run(std::string const& host, bool first_fleet = false)
    {
        kill(host);
        fleet::witness_settings settings;
        settings.host = host;
        settings.generation = ++m_generations;
        settings.claims = m_settings;
        settings.first_fleet = first_fleet;
        m_hosts.emplace(
            host,
            process{fleet::witness(settings),
                    fleet::claimant(host, settings.generation, m_settings),
                    0});
        adopt(host);
    }

    /// Reports the restart of a host to all others.
    void report_restart(std::string const& host)
    {
        for (auto const& name : names()) {
            if (name != host) {
                fleet::claim_host_restarted const event{host};
                handle_event(name, fleet::witness_event(event));
            }
        }
        deliver_all();
    }

    /// Returns whether a new call reaches a quorum.
    bool could_book_other(std::string const& host)
    {
        fleet::claim_started const event{
            key("another booking"), 1, ++m_tickets};
        handle_event(host, fleet::claimant_event(event));
        deliver_all();
        return last<fleet::claim_proceed>(host) != nullptr;
    }

    void stop(std::string const& host)
    {
        handle_event(host, fleet::witness_event(fleet::claim_stop_planned{}));
        deliver_all();
    }

    /// Publishes a new list; a host uses it after `adopt`.
    void list(std::set<std::string> const& names)
    {
        m_listed = names;
        ++m_revision;
        m_published.push_back(now);
        m_list = make_list();
    }

    std::set<std::string> const& listed() const
    {
        return m_listed;
    }

    void adopt(std::string const& host)
    {
        fleet::claim_view_listed const event{m_list};
        m_hosts.at(host).revision = m_revision;
        handle_event(host, fleet::witness_event(event));
        handle_event(host, fleet::claimant_event(event));
        confirm(host);
        deliver_all();
    }

    void adopt_all()
    {
        for (auto const& name : names()) {
            adopt(name);
        }
    }

    /// Confirms the list of a host. An older list is confirmed only up to
    /// the time at which the next one was published.
    void confirm(std::string const& host)
    {
        auto const revision = m_hosts.at(host).revision;
        auto const as_of =
            revision == m_revision ? now : m_published[revision + 1];
        fleet::claim_view_confirmed const event{as_of};
        handle_event(host, fleet::witness_event(event));
        handle_event(host, fleet::claimant_event(event));
    }

    /// Advances the time for all running hosts that are not paused.
    void advance(model::milliseconds by)
    {
        auto const until = now + by;
        while (now < until) {
            now = std::min(until, now + m_settings.pause_limit / 2);
            for (auto const& name : names()) {
                if (paused.count(name) == 0) {
                    confirm(name);
                    tick(name);
                }
            }
            deliver_all();
        }
    }

    void tick(std::string const& host)
    {
        handle_event(host, fleet::witness_event(fleet::claim_tick{}));
        handle_event(host, fleet::claimant_event(fleet::claim_tick{}));
    }

    /// Returns the last decision of that host if it is a `Decision`.
    template <typename Decision>
    Decision const* last(std::string const& host) const
    {
        for (auto one = decisions.rbegin(); one != decisions.rend(); ++one) {
            if (one->host == host) {
                return std::get_if<Decision>(&one->decision);
            }
        }
        return nullptr;
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (auto const& [name, one] : m_hosts) {
            result.push_back(name);
        }
        return result;
    }

    /// Returns the witnesses of the key by the newest list, in rank order.
    std::vector<std::string> witnesses() const
    {
        auto const bucket = fleet::claim_bucket(key(), m_settings.buckets);
        return m_list->witnesses(bucket);
    }

    std::size_t votes() const
    {
        auto const bucket = fleet::claim_bucket(key(), m_settings.buckets);
        std::size_t count = 0;
        for (auto const& [name, one] : m_hosts) {
            count += one.witness.has_vote(bucket) ? 1 : 0;
        }
        return count;
    }

    int runs() const
    {
        return m_runs;
    }

    model::time_point now{std::chrono::hours(1)};
    std::vector<host_decision> decisions;
    std::set<std::string> paused;
    /// Returns true for messages that are delivered.
    std::function<bool(std::string const& from,
                       std::string const& to,
                       fleet::claim_message const& message)>
        is_delivered = [](auto const&, auto const&, auto const&) {
            return true;
        };

private:
    struct process
    {
        fleet::witness witness;
        fleet::claimant claimant;
        std::size_t revision = 0;
    };

    struct queued_message
    {
        std::string from;
        fleet::claim_send send;
    };

    std::shared_ptr<fleet::claim_view const> make_list() const
    {
        model::host_list hosts;
        hosts.revision = m_revision;
        for (auto const& name : m_listed) {
            model::host host;
            host.name = name;
            host.data_centre = name;
            hosts.members.push_back(host);
        }
        return std::make_shared<fleet::claim_view const>(hosts, m_settings);
    }

    void handle_event(std::string const& host,
                      fleet::witness_event const& event)
    {
        std::vector<fleet::claim_send> out;
        m_hosts.at(host).witness.handle(event, now, out);
        for (auto const& one : out) {
            m_queue.push_back({host, one});
        }
    }

    void handle_event(std::string const& host,
                      fleet::claimant_event const& event)
    {
        std::vector<fleet::claim_decision> out;
        m_hosts.at(host).claimant.handle(event, now, out);
        for (auto const& one : out) {
            if (auto const* send = std::get_if<fleet::claim_send>(&one)) {
                m_queue.push_back({host, *send});
            } else {
                decisions.push_back({host, one});
            }
        }
    }

    void deliver_all()
    {
        while (!m_queue.empty()) {
            queued_message const one = m_queue.front();
            m_queue.pop_front();
            bool const exists = m_hosts.count(one.send.to) > 0;
            bool const is_running = paused.count(one.send.to) == 0;
            if (exists && is_running
                && is_delivered(one.from, one.send.to, one.send.message)) {
                fleet::claim_received const event{one.from, one.send.message};
                handle_event(one.send.to, fleet::witness_event(event));
                handle_event(one.send.to, fleet::claimant_event(event));
            }
        }
    }

    fleet::claim_settings m_settings;
    std::set<std::string> m_listed;
    std::size_t m_revision = 1;
    /// Publication times by revision; the first two are the start time.
    std::vector<model::time_point> m_published{now, now};
    std::shared_ptr<fleet::claim_view const> m_list;
    std::map<std::string, process> m_hosts;
    std::deque<queued_message> m_queue;
    std::uint64_t m_generations = 0;
    std::uint64_t m_tickets = 0;
    int m_runs = 0;
};

} // namespace caperjunction

#endif
