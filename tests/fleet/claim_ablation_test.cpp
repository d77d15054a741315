#include "fleet/claim_fleet.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

fleet::claim_settings short_settings()
{
    fleet::claim_settings settings;
    settings.retention = 60s;
    settings.view_lease = 40s;
    settings.grant_lease = 10s;
    settings.transfer_lease = 2s;
    settings.maturity = settings.min_maturity();
    return settings;
}

int runs_after_witnesses_restart(fleet::claim_settings const& settings)
{
    claim_fleet hosts(7, settings);
    hosts.book("host-0");
    auto const witnesses = hosts.witnesses();
    for (std::size_t index = 0; index < 3; ++index) {
        hosts.run(witnesses[index]);
    }
    hosts.book(witnesses[0]);
    return hosts.runs();
}

int runs_after_a_pause(fleet::claim_settings const& settings)
{
    claim_fleet hosts(7, settings);
    hosts.start("host-0");
    hosts.paused.insert("host-0");
    hosts.advance(61s);
    hosts.book("host-1");
    hosts.paused.clear();
    hosts.confirm("host-0");
    hosts.dispatch("host-0");
    return hosts.runs();
}

int runs_with_an_outdated_list(fleet::claim_settings const& settings)
{
    claim_fleet hosts(9, settings);
    auto names = hosts.listed();
    names.erase("host-7");
    names.erase("host-8");
    hosts.list(names);
    hosts.adopt_all();
    // Three witnesses are partitioned off; the list replaces two of them.
    auto const witnesses = hosts.witnesses();
    std::set<std::string> const partitioned(witnesses.begin(),
                                            witnesses.begin() + 3);
    hosts.is_delivered =
        [&partitioned](auto const& from, auto const& to, auto const&) {
            return partitioned.count(from) == partitioned.count(to);
        };
    names.erase(witnesses[0]);
    names.erase(witnesses[1]);
    names.insert("host-7");
    names.insert("host-8");
    hosts.list(names);
    for (auto const& name : hosts.names()) {
        if (partitioned.count(name) == 0) {
            hosts.adopt(name);
        }
    }
    hosts.advance(settings.maturity + 1s);
    hosts.book(witnesses[3]);
    hosts.book(witnesses[0]);
    return hosts.runs();
}

} // namespace

TEST_CASE("votes of new hosts without maturity would run a call twice")
{
    // Three witnesses restart and lose their claims.
    auto settings = short_settings();
    CHECK(runs_after_witnesses_restart(settings) == 1);
    settings.maturity = 0s;
    CHECK(runs_after_witnesses_restart(settings) == 2);
}

TEST_CASE("a grant without a lease would run a call twice")
{
    // The entry host is paused for longer than the witnesses' retention time,
    // resumes, and gets its list confirmed.
    auto settings = short_settings();
    CHECK(runs_after_a_pause(settings) == 1);
    settings.grant_lease = 1h;
    CHECK(runs_after_a_pause(settings) == 2);
}

TEST_CASE("a list without a lease would run a call twice")
{
    // Three witnesses are partitioned off from the rest and from new lists
    // until their successors vote.
    auto settings = short_settings();
    CHECK(runs_with_an_outdated_list(settings) == 1);
    settings.view_lease = 24h;
    CHECK(runs_with_an_outdated_list(settings) == 2);
}
