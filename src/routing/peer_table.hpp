#ifndef CAPERJUNCTION_ROUTING_PEER_TABLE_HPP
#define CAPERJUNCTION_ROUTING_PEER_TABLE_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "routing/by_address.hpp"
#include "routing/digest_set.hpp"
#include "routing/origin_peer.hpp"
#include "routing/tunnel_peer.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace caperjunction::routing {

/// State of the other hosts, from their digests.
///
/// In a small fleet all hosts exchange digests with all. In a large fleet each
/// host sends digests to its own data centre, and two gateways of each data
/// centre exchange the remaining state. Traffic per host then grows with the
/// size of its data centre and the number of data centres, not with the fleet.
///
/// Digests only improve decisions. A host that receives none continues with its
/// own observations.
///
/// Thread safety: none; owned by one task.
class peer_table
{
public:
    /// With fewer peers each host watches the store itself and sends to all.
    /// Sharing saves nothing there, and the hosts stay independent of each
    /// other.
    static constexpr std::size_t min_peers_of_large_fleet = 12;

    /// `own` is never added as a peer. `seeds` are contacted until they reply.
    /// `data_centre` is a hash of its name.
    peer_table(model::endpoint own,
               std::uint64_t data_centre,
               std::vector<model::endpoint> const& seeds);

    /// Adds seeds. They may name hosts that start later or are replaced.
    void seeds(std::vector<model::endpoint> const& seeds);

    void record_digest(model::endpoint const& from,
                       peer_digest const& digest,
                       model::time_point now);

    /// Discards the state of hosts that have become silent.
    void forget_silent(model::time_point now);

    struct recipient
    {
        model::endpoint at;
        digest_kind kind = digest_kind::presence;
        /// No digest was received from it: it is requested to reply.
        bool requests_reply = false;
        /// Maximum neighbours to name in the digest; 0 if some were named
        /// within the last period.
        std::size_t max_neighbours = 0;
    };

    /// Returns the recipients that are due for a digest and marks them as sent.
    /// `own` are this host's store revisions. `has_load_change`: loads have
    /// changed enough to affect placement in other data centres.
    std::vector<recipient> recipients(model::time_point now,
                                      store_revisions const& own,
                                      bool has_load_change);

    /// Returns the recipients of a digest that announces a change: some near
    /// hosts, starting at `random_value`, and gateways of other data centres.
    /// The other hosts learn of the change from the next digests of any of
    /// these, so that they don't all fetch it over the link of the first one.
    std::vector<recipient> recipients_of_change(model::time_point now,
                                                store_revisions const& own,
                                                std::uint64_t random_value);

    /// Returns up to `max_count` hosts that are relevant to the host at `to`:
    /// those of its data centre, and gateways. `random_value` is arbitrary: it
    /// selects where in the list to start, so that all hosts are sent over
    /// time.
    std::vector<neighbour> neighbours_for(model::endpoint const& to,
                                          std::size_t max_count,
                                          std::uint64_t random_value) const;

    /// Sums what was received of upstreams. Must be called before
    /// `load_of`.
    void aggregate();

    /// Returns whether this host aggregates the loads of its data centre.
    ///
    /// Loads older than the time to read a prompt mislead placement, and in a
    /// large fleet a host cannot receive digests from all others that often.
    /// One host of each data centre therefore exchanges aggregated loads with
    /// those of the others.
    bool is_aggregator() const;

    /// Returns whether this host exchanges state with other data centres: the
    /// aggregator and one backup, so that the loss of one host isolates no data
    /// centre.
    bool is_gateway() const;

    /// Returns the loads that other data centres place requests by, given the
    /// loads of this host: the sum over its data centre on an aggregator of a
    /// large fleet, otherwise its own.
    std::vector<peer_load>
    loads_for_remote(std::vector<peer_load> const& own) const;

    /// Returns the digests to send. `own` contains the requests and store
    /// revisions of this host.
    digest_set make_digests(peer_digest own) const;

    /// Returns the requests of the hosts in all other data centres.
    std::vector<peer_load> remote_loads() const;

    /// Returns the demand of teams at all other hosts.
    std::vector<team_demand> other_demands() const;

    /// Returns the number of hosts that send their loads to this host.
    std::size_t near_count() const;

    /// Returns the interval between the digests of this host. It grows with the
    /// number of hosts that send their loads to each other.
    model::milliseconds digest_period() const;

    /// Returns the age that the loads of other hosts reach before newer ones
    /// arrive: a period of the sender, and one of this host until they are
    /// summed.
    model::milliseconds max_load_age() const
    {
        return digest_period() * 2;
    }

    /// Returns the number of other live hosts, known from their own digests or
    /// from those of gateways and aggregators.
    std::size_t alive() const
    {
        return m_fleet_size - 1;
    }

    /// Returns the number of hosts whose loads this host has, itself included:
    /// in a large fleet without a near aggregator, those of its data centre.
    std::size_t hosts_with_loads() const;

    /// Returns the size of the largest fleet that this host or a peer has
    /// known, including this host. Hosts that cannot be reached may still send
    /// requests.
    std::size_t largest_fleet_seen() const
    {
        return m_largest_fleet_seen;
    }

    /// Returns the requests of other hosts at an upstream and its performance
    /// as they see it.
    peer_load load_of(std::uint32_t upstream) const;

    /// Returns the newest limit that another host received from an upstream;
    /// nothing if there is none.
    std::optional<limit_notice> limit_of(std::uint32_t upstream) const;

    /// Returns whether another host reports that the upstream of this key, from
    /// `start_key`, is leaving.
    bool is_leaving(std::uint64_t key) const
    {
        return m_leaving.count(key) > 0;
    }

    /// Returns this host's share of an upstream's limit. `is_local`: the
    /// upstream is in this host's data centre.
    ///
    /// In a small fleet all hosts exchange digests and share the limit. In a
    /// large fleet the hosts of the upstream's data centre do, also those that
    /// are cut off from the others.
    limit_share limit_share_for(std::uint32_t upstream, bool is_local) const;

    /// Returns the live hosts that offer tunnels, and, in a large fleet, the
    /// hosts of other data centres that others have named, at port
    /// `assumed_port`: a host exchanges digests with its own data centre only.
    std::vector<tunnel_peer> tunnel_peers(std::uint16_t assumed_port) const;

    /// Returns the hosts that can be told or asked which software began a
    /// stream: the near ones, and in a large fleet gateways of other data
    /// centres.
    std::vector<origin_peer> origin_peers() const;

    /// Returns until when upstreams want no request from the host whose tunnels
    /// are at `own`, as told to other hosts through these; by their keys from
    /// `upstream_load_key`.
    std::unordered_map<std::uint32_t, model::time_point>
    pauses_through(model::endpoint const& own) const;

    /// A host with a newer revision of the store to fetch from.
    struct source
    {
        /// Null if there is none.
        model::endpoint const* at = nullptr;
        /// It is in this host's data centre.
        bool is_near = false;
        /// It sends both list kinds in one list, as earlier versions do.
        bool sends_combined_list = false;
        /// It names configurations by their versions.
        bool knows_configuration_versions = false;
    };

    /// Returns one of the hosts with a newer revision of `which` than `own`;
    /// `random_value` is arbitrary.
    ///
    /// Each host selects a source at random, so that a starting fleet doesn't
    /// fill the link of one host; and from its own data centre if possible,
    /// because traffic between data centres is billed.
    source newer_than(store_revisions const& own,
                      list_kind which,
                      std::uint64_t random_value) const;

    /// Return the newest of each list kind that any live host has.
    store_position newest_upstreams() const;
    std::uint64_t newest_configuration() const;

    /// Returns whether this host watches the store for other hosts.
    ///
    /// Each watch is a call that the store limits and bills, and each change
    /// ends all watches. In a large fleet a few hosts of each data centre watch
    /// the store, and the others receive changes from them.
    bool is_store_watcher() const;

private:
    struct peer
    {
        /// Before the first digest of the host: its data centre and whether it
        /// is a gateway, as reported by another host, if
        /// `has_known_data_centre`.
        peer_digest digest;
        model::time_point received_at{};
        model::time_point sent_at{};
        model::time_point learned_at{};
        model::time_point neighbours_sent_at{};
        /// Store revisions in the last digest sent to it.
        store_revisions sent_revisions;
        bool is_live = false;
        bool is_seed = false;
        bool has_known_data_centre = false;
        bool reply_requested = false;
    };

    peer* find_or_add(model::endpoint const& address);
    void add_neighbour(neighbour const& other, model::time_point now);
    void recount();
    bool is_large() const;
    bool has_been_large() const;
    bool is_in_data_centre(peer const& known) const;
    bool is_near(peer const& known) const;
    bool is_worth_contacting(peer const& known) const;
    bool is_due_remote(peer const& known,
                       model::time_point now,
                       store_revisions const& own) const;
    bool is_due_for_loads(peer const& known,
                          model::time_point now,
                          bool has_load_change) const;
    digest_kind kind_for(peer const& known) const;
    recipient record_sent(model::endpoint const& at,
                          peer& known,
                          model::time_point now,
                          store_revisions const& own) const;
    bool ranks_before(model::endpoint const& a, model::endpoint const& b) const;
    std::vector<peer const*> remote_aggregators() const;
    peer const* near_aggregator() const;
    std::vector<team_demand> near_demands() const;
    std::vector<team_demand> remote_demands() const;
    std::vector<peer_load>
    aggregate_with(std::vector<peer_load> const& own) const;
    using limit_notices = std::unordered_map<std::uint32_t, limit_notice>;
    static void add_limits(limit_notices& sum, peer const& known);
    std::vector<advertised_limit> local_limits() const;
    std::vector<advertised_limit> remote_limits() const;
    std::vector<advertised_limit> listed_limits(limit_notices const& sum) const;

    model::endpoint m_own;
    std::uint64_t m_data_centre;
    std::map<model::endpoint, peer, by_address> m_peers;
    std::unordered_map<std::uint32_t, peer_load> m_loads;
    limit_notices m_limits;
    std::unordered_set<std::uint64_t> m_leaving;
    /// Latest time passed to this table.
    model::time_point m_now{};

    // Updated when a host appears, disappears or changes its counts.
    std::size_t m_fleet_size = 1;
    std::size_t m_local_peers = 0;
    std::size_t m_local_rank = 0;
    std::size_t m_data_centre_count = 1;
    std::size_t m_largest_fleet_seen = 1;
};

} // namespace caperjunction::routing

#endif
