#include "routing/peer_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace caperjunction::routing {
namespace {

/// Of a whole data centre, in one digest.
constexpr std::size_t most_limits_told = 256;

double turn_of(std::uint64_t hash)
{
    return static_cast<double>(hash)
           / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

std::uint64_t rank_of(model::endpoint const& at, std::uint32_t upstream)
{
    std::uint64_t const host =
        XXH3_64bits_withSeed(at.address.data(), at.address.size(), at.port);
    return XXH3_64bits_withSeed(&upstream, sizeof upstream, host);
}

} // namespace

void peer_table::add_limits(limit_notices& sum, peer const& known)
{
    for (told_limit const& item : known.told.limits) {
        limit_notice const told{item.a_second, known.heard_at - item.age};
        limit_notice& newest = sum[item.upstream];
        if (newest.heard_at < told.heard_at) {
            newest = told;
        }
    }
}

std::vector<told_limit>
peer_table::listed_limits(limit_notices const& sum) const
{
    std::vector<told_limit> list;
    list.reserve(sum.size());
    for (auto const& [upstream, notice] : sum) {
        auto const age = std::chrono::duration_cast<model::milliseconds>(
            m_now - notice.heard_at);
        list.push_back({upstream, notice.a_second, age});
    }
    std::sort(list.begin(), list.end(), [](auto const& a, auto const& b) {
        return a.age != b.age ? a.age < b.age : a.upstream < b.upstream;
    });
    list.resize(std::min(list.size(), most_limits_told));
    return list;
}

std::vector<told_limit> peer_table::limits_here() const
{
    limit_notices sum;
    for (auto const& [address, known] : m_peers) {
        // What one that speaks tells here is already of other data centres.
        if (is_near(known) && !known.told.speaks) {
            add_limits(sum, known);
        }
    }
    return listed_limits(sum);
}

std::vector<told_limit> peer_table::limits_beyond() const
{
    limit_notices sum;
    for (peer const* const speaker : far_speakers()) {
        add_limits(sum, *speaker);
    }
    return listed_limits(sum);
}

std::optional<limit_notice> peer_table::limit_of(std::uint32_t upstream) const
{
    auto const found = m_limits.find(upstream);
    return found == m_limits.end() ? std::nullopt
                                   : std::optional(found->second);
}

limit_place peer_table::place_for(std::uint32_t upstream, bool is_here) const
{
    std::uint64_t const own = rank_of(m_own, upstream);
    limit_place place;
    place.turn = turn_of(own);
    place.fleet = std::max(m_fleet, m_most_seen);
    place.is_among_them = is_here || !is_large();
    for (auto const& [address, known] : m_peers) {
        if (is_near(known)) {
            ++place.hosts;
            place.rank += rank_of(address, upstream) < own ? 1 : 0;
        }
    }
    if (!is_large()) {
        // Hosts that aren't heard any more may go on sending.
        place.hosts = std::max(place.hosts, m_most_seen);
    }
    return place;
}

} // namespace caperjunction::routing
