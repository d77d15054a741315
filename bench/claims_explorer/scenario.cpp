#include "bench/claims_explorer/scenario.hpp"

#include <algorithm>

namespace caperjunction::claims_explorer {

namespace {

using std::chrono::seconds;

// Scaled-down times with the proportions of the production defaults, so that a
// clock jump takes few ticks.
fleet::claim_settings short_settings(int quorum_delta, ablation off)
{
    fleet::claim_settings settings;
    settings.witnesses_per_data_centre = settings.witnesses;
    settings.quorum_delta = quorum_delta;
    settings.buckets = 1;
    settings.retention = seconds(40);
    settings.view_lease = seconds(60);
    settings.grant_lease = seconds(10);
    settings.pause_limit = seconds(20);
    settings.claim_timeout = seconds(2);
    settings.resend_after = seconds(1'000);
    settings.transfer_lease = seconds(5);
    settings.maturity = settings.min_maturity();
    constexpr seconds s_forever(1'000'000);
    if (off == ablation::new_hosts_vote) {
        settings.maturity = seconds(0);
    } else if (off == ablation::no_grant_lease) {
        settings.grant_lease = s_forever;
    } else if (off == ablation::no_view_lease) {
        settings.view_lease = s_forever;
    }
    return settings;
}

model::host_list list_of(std::vector<std::string> const& names,
                         std::vector<std::size_t> const& members,
                         std::uint64_t revision)
{
    model::host_list hosts;
    hosts.revision = revision;
    for (std::size_t const member : members) {
        model::host host;
        host.name = names[member];
        hosts.members.push_back(host);
    }
    return hosts;
}

} // namespace

scenario::scenario(std::size_t hosts, int quorum_delta, ablation off)
    : settings(short_settings(quorum_delta, off))
    , leaps{seconds(3), seconds(12), seconds(45), seconds(190)}
    , tick(seconds(10))
{
    for (std::size_t index = 0; index < hosts; ++index) {
        names.push_back("host-" + std::to_string(index));
    }
    // Each list has as many hosts as there are witnesses, so each list is a
    // witness set: the second list replaces two hosts, and the third list
    // brings these two back and removes two others.
    std::size_t const last = hosts - 1;
    std::size_t const spare = hosts - settings.witnesses;
    std::vector<std::vector<std::size_t>> members{{0, 1, 2, 3, 4}};
    if (spare >= 2) {
        members.push_back({0, 1, 2, last - 1, last});
        members.push_back({0, 3, 4, last - 1, last});
    } else if (spare == 1) {
        members.push_back({0, 1, 2, 3, last});
        members.push_back({0, 1, 2, 4, last});
    }
    std::uint64_t revision = 0;
    for (auto const& one : members) {
        lists.push_back(std::make_shared<fleet::claim_view const>(
            list_of(names, one, ++revision), settings));
    }
}

std::size_t scenario::index_of(std::string const& name) const
{
    auto const found = std::find(names.begin(), names.end(), name);
    return static_cast<std::size_t>(found - names.begin());
}

model::milliseconds scenario::rerun_exclusion_period() const
{
    // Uses the unmodified settings, even if an ablation disables the lease.
    auto const unmodified = short_settings(0, ablation::none);
    return unmodified.retention - unmodified.grant_lease;
}

} // namespace caperjunction::claims_explorer
