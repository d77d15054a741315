#include "routing/peer_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace caperjunction::routing {
namespace {

/// Maximum limits of a data centre in one digest.
constexpr std::size_t max_limits_sent = 256;

double phase_of(std::uint64_t hash)
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
    for (advertised_limit const& item : known.digest.limits) {
        limit_notice const reported{item.requests_per_second,
                                    known.received_at - item.age};
        limit_notice& newest = sum[item.upstream];
        if (newest.received_at < reported.received_at) {
            newest = reported;
        }
    }
}

std::vector<advertised_limit>
peer_table::listed_limits(limit_notices const& sum) const
{
    std::vector<advertised_limit> list;
    list.reserve(sum.size());
    for (auto const& [upstream, notice] : sum) {
        auto const age = std::chrono::duration_cast<model::milliseconds>(
            m_now - notice.received_at);
        list.push_back({upstream, notice.requests_per_second, age});
    }
    std::sort(list.begin(), list.end(), [](auto const& a, auto const& b) {
        return a.age != b.age ? a.age < b.age : a.upstream < b.upstream;
    });
    list.resize(std::min(list.size(), max_limits_sent));
    return list;
}

std::vector<advertised_limit> peer_table::local_limits() const
{
    limit_notices sum;
    for (auto const& [address, known] : m_peers) {
        // The limits that an aggregator sends to near hosts include those of
        // other data centres.
        if (is_near(known) && !known.digest.is_aggregator) {
            add_limits(sum, known);
        }
    }
    return listed_limits(sum);
}

std::vector<advertised_limit> peer_table::remote_limits() const
{
    limit_notices sum;
    for (peer const* const aggregator : remote_aggregators()) {
        add_limits(sum, *aggregator);
    }
    return listed_limits(sum);
}

std::optional<limit_notice> peer_table::limit_of(std::uint32_t upstream) const
{
    auto const found = m_limits.find(upstream);
    return found == m_limits.end() ? std::nullopt
                                   : std::optional(found->second);
}

limit_share peer_table::limit_share_for(std::uint32_t upstream,
                                        bool is_local) const
{
    std::uint64_t const own = rank_of(m_own, upstream);
    limit_share share;
    share.phase = phase_of(own);
    share.fleet_size = std::max(m_fleet_size, m_largest_fleet_seen);
    share.participates = is_local || !has_been_large();
    for (auto const& [address, known] : m_peers) {
        if (is_near(known)) {
            ++share.hosts;
            share.rank += rank_of(address, upstream) < own ? 1 : 0;
        }
    }
    if (!is_large()) {
        // Hosts that this host no longer receives digests from may still send
        // requests.
        share.hosts = std::max(share.hosts, m_largest_fleet_seen);
    }
    return share;
}

} // namespace caperjunction::routing
