#include "fleet/claim_fleet.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

fleet::claim_settings short_settings()
{
    fleet::claim_settings settings;
    settings.buckets = 1;
    settings.retention = 60s;
    settings.view_lease = 40s;
    settings.grant_lease = 10s;
    settings.transfer_lease = 2s;
    settings.maturity = settings.min_maturity();
    return settings;
}

/// One random history of faults with seven hosts and three that may join.
class history
{
public:
    void step()
    {
        auto const host = "host-" + std::to_string(pick(10));
        bool const up = running(host);
        switch (pick(12)) {
        case 0:
        case 1:
        case 2:
            up ? start(host) : m_fleet.run(host);
            break;
        case 3:
            if (up) {
                dispatch(host);
            }
            break;
        case 4:
            if (up) {
                end(host);
            }
            break;
        case 5:
            if (up && m_fleet.names().size() > 1) {
                m_fleet.kill(host);
                m_dispatched.erase(host);
            }
            break;
        case 6:
            if (up) {
                m_fleet.stop(host);
            }
            break;
        case 7:
            change_list(host);
            break;
        case 8:
            if (up) {
                m_fleet.adopt(host);
            }
            break;
        case 9:
            partition(pick(10));
            break;
        case 10:
            m_fleet.advance(std::chrono::seconds(1 + pick(30)));
            break;
        default:
            toggle_pause(host);
            break;
        }
        check_answers();
    }

private:
    static std::size_t pick(std::size_t bound)
    {
        return *rc::gen::inRange<std::size_t>(0, bound);
    }

    bool running(std::string const& host) const
    {
        auto const names = m_fleet.names();
        return std::find(names.begin(), names.end(), host) != names.end();
    }

    void start(std::string const& host)
    {
        if (m_fleet.paused.count(host) == 0) {
            m_fleet.start(host);
        }
    }

    void dispatch(std::string const& host)
    {
        if (m_fleet.dispatch(host)) {
            RC_ASSERT(!ran_recently());
            m_ran.push_back(m_fleet.now);
            m_dispatched.insert(host);
        }
    }

    void end(std::string const& host)
    {
        bool const ran = m_dispatched.erase(host) > 0;
        m_fleet.end(host, ran ? model::outcome::ran : model::outcome::not_run);
    }

    void change_list(std::string const& host)
    {
        auto names = m_fleet.listed();
        bool const listed = names.count(host) > 0;
        if (!listed) {
            names.insert(host);
        } else if (names.size() > 5) {
            names.erase(host);
        }
        m_fleet.list(names);
    }

    void partition(std::size_t at)
    {
        m_fleet.is_delivered =
            [at](auto const& from, auto const& to, auto const&) {
                auto const side = [at](std::string const& name) {
                    return static_cast<std::size_t>(name.back() - '0') < at;
                };
                return side(from) == side(to);
            };
    }

    void toggle_pause(std::string const& host)
    {
        if (m_fleet.paused.erase(host) == 0) {
            m_fleet.paused.insert(host);
        }
    }

    bool ran_recently() const
    {
        auto const guaranteed =
            short_settings().retention - short_settings().grant_lease;
        return !m_ran.empty() && m_fleet.now - m_ran.back() < guaranteed;
    }

    void check_answers()
    {
        for (; m_seen < m_fleet.decisions.size(); ++m_seen) {
            auto const& what = m_fleet.decisions[m_seen].decision;
            bool const not_run =
                std::holds_alternative<fleet::claim_not_run>(what);
            RC_ASSERT(!not_run || !ran_recently());
        }
    }

    claim_fleet m_fleet{7, short_settings()};
    std::vector<model::time_point> m_ran;
    std::set<std::string> m_dispatched;
    std::size_t m_seen = 0;
};

} // namespace

TEST_CASE("no history of faults over ten hosts runs a call twice")
{
    // Hosts crash, restart, stop, pause, are partitioned and use outdated lists
    // at random, while a caller sends one booking to all of them.
    CHECK(rc::check("at most one run", [] {
        history one;
        auto const steps = *rc::gen::inRange<std::size_t>(1, 150);
        for (std::size_t count = 0; count < steps; ++count) {
            one.step();
        }
    }));
}
