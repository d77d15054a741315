#ifndef CAPERJUNCTION_ROUTING_PEER_DIGEST_HPP
#define CAPERJUNCTION_ROUTING_PEER_DIGEST_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "routing/store_revisions.hpp"
#include "routing/upstream_state.hpp"

#include <xxhash.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace caperjunction::routing {

/// What a host has sent to one upstream and seen of it, or how many of a
/// service's most urgent streams it runs.
struct peer_load
{
    /// Hash of the upstream's id, or `urgent_load_key` of the service.
    std::uint32_t upstream = 0;
    upstream_load load;
    upstream_performance performance;
};

/// Under which loads tell of the upstream `id`. Two of some thousand share a
/// key once in a while; placing then takes each to be as busy as both.
inline std::uint32_t upstream_load_key(std::string_view id)
{
    return static_cast<std::uint32_t>(XXH3_64bits(id.data(), id.size()));
}

/// Under which loads tell the most urgent streams of `service`.
inline std::uint32_t urgent_load_key(std::string_view service)
{
    constexpr std::uint64_t unlike_ids = 2;
    return static_cast<std::uint32_t>(
        XXH3_64bits_withSeed(service.data(), service.size(), unlike_ids));
}

/// A request that was on an upstream when that broke.
struct crash_suspect
{
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
};

/// What an upstream has said to a host of the requests that it takes.
struct advertised_limit
{
    /// As `upstream_load_key` gives it.
    std::uint32_t upstream = 0;
    /// Requests a second; nothing: as many as come.
    std::optional<double> requests_per_second;
    /// Since it said so.
    model::milliseconds age{0};
};

/// A host that another one hears.
struct neighbour
{
    model::endpoint at;
    /// Hash of its data centre's name.
    std::uint64_t data_centre = 0;
    /// It speaks to other data centres for its own.
    bool is_gateway = false;
};

/// What one host tells another several times a second.
struct peer_digest
{
    /// Differs with each start of the sender.
    std::uint64_t generation = 0;
    std::uint64_t sequence = 0;
    store_revisions revisions;
    /// As of when the store had no newer configuration than `known` names, on
    /// the receiver's clock; nothing if that can't be told.
    std::optional<model::time_point> confirmed_at;
    /// Hosts that the sender has known at one time.
    std::uint32_t hosts_seen = 0;
    /// Hash of the name of the sender's data centre.
    std::uint64_t data_centre = 0;
    /// Hosts of the sender's data centre that it hears, with itself.
    std::uint32_t hosts_in_data_centre = 0;
    /// All hosts that are there, and their data centres, as the sender counts
    /// them; from one that relays it is more than its neighbours hear.
    std::uint32_t hosts_alive = 0;
    std::uint32_t data_centres = 0;
    /// The sender is one of those that exchange beliefs between data centres.
    bool is_gateway = false;
    /// The sender has not heard the receiver and wants an answer.
    bool requests_reply = false;
    /// Told to hosts nearby: what the sender itself has sent.
    std::vector<peer_load> loads;
    /// The sender speaks for its data centre.
    bool is_aggregator = false;
    /// Told to those that speak for other data centres: what all hosts of the
    /// sender's have sent.
    std::vector<peer_load> aggregated_loads;
    /// Told by the one that speaks to hosts nearby: what all hosts of all
    /// other data centres have sent.
    std::vector<peer_load> remote_loads;
    /// Told to hosts nearby: those of the sender, and from one that speaks for
    /// its data centre those of all others; told to those that speak for other
    /// data centres: those of the sender's.
    std::vector<crash_suspect> suspects;
    /// What upstreams have said of the requests that they take, told to whom
    /// `suspects` are told.
    std::vector<advertised_limit> limits;
    /// Other hosts that the sender hears and that concern the receiver.
    std::vector<neighbour> neighbours;
};

} // namespace caperjunction::routing

#endif
