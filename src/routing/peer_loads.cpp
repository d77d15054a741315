#include "routing/peer_table.hpp"

#include <algorithm>
#include <map>

namespace caperjunction::routing {
namespace {

using load_sums = std::unordered_map<std::uint32_t, peer_load>;

void add(load_sums& sum, std::vector<peer_load> const& loads)
{
    for (peer_load const& item : loads) {
        peer_load& total = sum[item.upstream];
        total.upstream = item.upstream;
        total.load.add(item.load);
        total.pace.merge(item.pace);
    }
}

std::vector<peer_load> listed(load_sums const& sum)
{
    std::vector<peer_load> list;
    list.reserve(sum.size());
    for (auto const& [upstream, total] : sum) {
        list.push_back(total);
    }
    return list;
}

using crash_counts = std::unordered_map<std::uint64_t, std::uint32_t>;

void add(crash_counts& sum, std::vector<crash_suspect> const& suspects)
{
    for (crash_suspect const& item : suspects) {
        sum[item.fingerprint] += item.crashes;
    }
}

/// Suspects of a whole data centre that one digest tells. When engines crash
/// under load, each crash makes every request there a suspect: 900 of them,
/// told several times a second, filled links of 10 Mbit/s, and loads and
/// changes were lost with them.
constexpr std::size_t most_suspects_told = 64;

/// The worst ones.
std::vector<crash_suspect> listed(crash_counts const& sum)
{
    std::vector<crash_suspect> list;
    list.reserve(sum.size());
    for (auto const& [fingerprint, crashes] : sum) {
        list.push_back({fingerprint, crashes});
    }
    auto const worse = [](crash_suspect const& a, crash_suspect const& b) {
        return a.crashes != b.crashes ? a.crashes > b.crashes
                                      : a.fingerprint < b.fingerprint;
    };
    std::sort(list.begin(), list.end(), worse);
    list.resize(std::min(list.size(), most_suspects_told));
    return list;
}

} // namespace

// Two of one data centre may both think that they speak for it, while one of
// them is new: the one that hears more hosts is counted.
std::vector<peer_table::peer const*> peer_table::far_speakers() const
{
    std::map<std::uint64_t, peer const*> of_centre;
    for (auto const& [address, known] : m_peers) {
        if (!known.is_heard || is_near(known) || !known.told.speaks) {
            continue;
        }
        peer const*& best = of_centre[known.told.data_centre];
        if (best == nullptr || best->told.hosts_here < known.told.hosts_here) {
            best = &known;
        }
    }
    std::vector<peer const*> list;
    list.reserve(of_centre.size());
    for (auto const& [centre, speaker] : of_centre) {
        list.push_back(speaker);
    }
    return list;
}

std::vector<peer_load>
peer_table::sums_with(std::vector<peer_load> const& own) const
{
    load_sums sum;
    add(sum, own);
    for (auto const& [address, known] : m_peers) {
        if (is_near(known)) {
            add(sum, known.told.loads);
        }
    }
    return listed(sum);
}

std::vector<peer_load> peer_table::beyond() const
{
    load_sums sum;
    for (peer const* const speaker : far_speakers()) {
        add(sum, speaker->told.sums);
    }
    return listed(sum);
}

std::vector<crash_suspect> peer_table::suspects_here() const
{
    crash_counts sum;
    for (auto const& [address, known] : m_peers) {
        // What one that speaks tells here is already of other data centres.
        if (is_near(known) && !known.told.speaks) {
            add(sum, known.told.suspects);
        }
    }
    return listed(sum);
}

std::vector<crash_suspect> peer_table::suspects_beyond() const
{
    crash_counts sum;
    for (peer const* const speaker : far_speakers()) {
        add(sum, speaker->told.suspects);
    }
    return listed(sum);
}

fleet_news peer_table::news(peer_digest own) const
{
    own.hosts_seen = static_cast<std::uint32_t>(m_most_seen);
    own.hosts_here = static_cast<std::uint32_t>(m_here + 1);
    own.hosts_alive = static_cast<std::uint32_t>(m_fleet);
    own.centres = static_cast<std::uint32_t>(m_centres);
    own.relays = relays();
    own.speaks = speaks();
    fleet_news made{own, own, own};
    made.sums.loads.clear();
    made.beliefs.loads.clear();
    if (!own.speaks) {
        return made;
    }
    made.sums.sums = sums_with(own.loads);
    made.loads.beyond = beyond();
    auto const append = [](auto& to, auto const& more) {
        to.insert(to.end(), more.begin(), more.end());
    };
    append(made.sums.suspects, suspects_here());
    append(made.loads.suspects, suspects_beyond());
    append(made.sums.limits, limits_here());
    append(made.loads.limits, limits_beyond());
    return made;
}

void peer_table::add_up()
{
    m_loads.clear();
    m_crashes.clear();
    m_limits.clear();
    peer const* speaker = nullptr;
    model::endpoint const* speaker_at = nullptr;
    for (auto const& [address, known] : m_peers) {
        if (!is_near(known)) {
            continue;
        }
        add(m_loads, known.told.loads);
        add(m_crashes, known.told.suspects);
        add_limits(m_limits, known);
        bool const is_better =
            speaker_at == nullptr || ranks_before(address, *speaker_at);
        if (known.told.speaks && is_better) {
            speaker = &known;
            speaker_at = &address;
        }
    }
    if (speaks()) {
        add(m_loads, beyond());
        add(m_crashes, suspects_beyond());
        for (peer const* const far : far_speakers()) {
            add_limits(m_limits, *far);
        }
    } else if (speaker != nullptr) {
        add(m_loads, speaker->told.beyond);
    }
}

peer_load peer_table::load_of(std::uint32_t upstream) const
{
    auto const found = m_loads.find(upstream);
    return found == m_loads.end() ? peer_load{} : found->second;
}

std::uint32_t peer_table::crashes_of(std::uint64_t fingerprint) const
{
    auto const found = m_crashes.find(fingerprint);
    return found == m_crashes.end() ? 0 : found->second;
}

} // namespace caperjunction::routing
