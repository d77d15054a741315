#ifndef CAPERJUNCTION_ROUTING_PEER_DIGEST_HPP
#define CAPERJUNCTION_ROUTING_PEER_DIGEST_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "routing/store_revisions.hpp"
#include "routing/team_demand.hpp"
#include "routing/upstream_state.hpp"

#include <xxhash.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace caperjunction::routing {

/// Load and performance of one upstream as one host sees it, or the number of
/// most urgent streams of a service on that host.
struct peer_load
{
    /// Hash of the upstream's id, or `urgent_load_key` of the service.
    std::uint32_t upstream = 0;
    upstream_load load;
    upstream_performance performance;
    engine_readings readings;
};

/// Returns the key under which hosts report the load of upstream `id`. Among
/// several thousand upstreams, two occasionally share a key. Placement then
/// assumes the sum of both loads for each.
inline std::uint32_t upstream_load_key(std::string_view id)
{
    return static_cast<std::uint32_t>(XXH3_64bits(id.data(), id.size()));
}

/// Returns the key of one start of an upstream, the same on all hosts.
///
/// The start is hashed with the id: as a seed, small numbers would give several
/// upstreams with short ids the same key.
inline std::uint64_t start_key(upstream const& described)
{
    std::uint64_t const hashes[] = {
        XXH3_64bits(described.id.data(), described.id.size()),
        described.started};
    return XXH3_64bits(hashes, sizeof hashes);
}

/// Returns the key under which hosts report the most urgent streams of
/// `service`.
inline std::uint32_t urgent_load_key(std::string_view service)
{
    constexpr std::uint64_t service_seed = 2;
    return static_cast<std::uint32_t>(
        XXH3_64bits_withSeed(service.data(), service.size(), service_seed));
}

/// Request limit that an upstream has reported to a host.
struct advertised_limit
{
    /// Key from `upstream_load_key`.
    std::uint32_t upstream = 0;
    /// No value: the upstream has no limit.
    std::optional<double> requests_per_second;
    /// Time since the upstream reported it.
    model::milliseconds age{0};
};

/// A pause that an upstream has asked a host for.
struct advertised_pause
{
    /// Key from `upstream_load_key`.
    std::uint32_t upstream = 0;
    model::milliseconds left{0};
    /// Tunnels of the host through which the sender was told; no value: the
    /// sender itself sends nothing, directly or for others.
    std::optional<model::endpoint> through;
};

/// A host from which the sender of a digest receives digests.
struct neighbour
{
    model::endpoint at;
    /// Hash of the name of its data centre.
    std::uint64_t data_centre = 0;
    /// It exchanges state with other data centres.
    bool is_gateway = false;
};

/// State that a host sends to other hosts several times a second.
struct peer_digest
{
    /// Differs for each start of the sender.
    std::uint64_t generation = 0;
    std::uint64_t sequence = 0;
    store_revisions revisions;
    /// Time as of which the store had no configuration newer than in
    /// `revisions`, on the receiver's clock; nothing if unknown.
    std::optional<model::time_point> confirmed_at;
    /// Largest number of hosts that the sender has known at one time.
    std::uint32_t hosts_seen = 0;
    /// Hash of the name of the sender's data centre.
    std::uint64_t data_centre = 0;
    /// Hosts of the sender's data centre that the sender receives digests from,
    /// including itself.
    std::uint32_t hosts_in_data_centre = 0;
    /// Hosts in the fleet and their data centres, as counted by the sender. A
    /// gateway counts more hosts than its neighbours receive digests from.
    std::uint32_t hosts_alive = 0;
    std::uint32_t data_centres = 0;
    /// The sender exchanges state with other data centres.
    bool is_gateway = false;
    /// Port at which the sender connects other hosts to upstreams; 0: it has
    /// lost its own links to them, or is stopping.
    std::uint16_t tunnel_port = 0;
    /// Upstreams to which the sender has lost its link, by their keys from
    /// `upstream_load_key`. It is taken to reach all others.
    std::vector<std::uint32_t> lost_links;
    /// The sender has received nothing from the receiver and requests a digest.
    bool requests_reply = false;
    /// For near hosts: the requests of the sender itself.
    std::vector<peer_load> loads;
    /// The sender aggregates the loads of its data centre.
    bool is_aggregator = false;
    /// For aggregators of other data centres: the requests of all hosts in the
    /// sender's data centre.
    std::vector<peer_load> aggregated_loads;
    /// From an aggregator to near hosts: the requests of all hosts in all other
    /// data centres.
    std::vector<peer_load> remote_loads;
    /// Demand of teams, passed on like the loads: of the sender, of the
    /// sender's data centre, and of all other data centres.
    std::vector<team_demand> demands;
    std::vector<team_demand> aggregated_demands;
    std::vector<team_demand> remote_demands;
    /// Limits reported by upstreams. For near hosts: those that the sender
    /// knows and, from an aggregator, those of all other data centres. For
    /// aggregators of other data centres: those of the sender's data centre.
    std::vector<advertised_limit> limits;
    /// Upstreams that are leaving, as the sender was told by them or by other
    /// hosts: their keys from `start_key`.
    std::vector<std::uint64_t> leaving;
    /// Pauses that hosts at the other ends of the sender's tunnels observe too.
    std::vector<advertised_pause> pauses;
    /// Hosts that the sender receives digests from and that are relevant to the
    /// receiver.
    std::vector<neighbour> neighbours;
};

} // namespace caperjunction::routing

#endif
