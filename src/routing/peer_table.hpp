#ifndef CAPERJUNCTION_ROUTING_PEER_TABLE_HPP
#define CAPERJUNCTION_ROUTING_PEER_TABLE_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "routing/peer_digest.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace caperjunction::routing {

/// How much a host is told.
enum class digest_kind : std::uint8_t
{
    /// It places by loads: those of this host, and beyond if this speaks.
    loads,
    /// It speaks for another data centre: the sums of this one.
    aggregated_loads,
    /// That this host is there, and what it knows of the store.
    presence,
};

/// What a host has to tell at one time.
struct digest_set
{
    peer_digest loads;
    peer_digest aggregated_loads;
    peer_digest presence;

    peer_digest const& of(digest_kind kind) const
    {
        return kind == digest_kind::loads              ? loads
               : kind == digest_kind::aggregated_loads ? aggregated_loads
                                                       : presence;
    }
};

/// What this host knows of the others.
///
/// In a small fleet all tell all. In a large one each tells the hosts of its
/// own data centre, and two of each data centre exchange what concerns the
/// rest: what a host sends and hears then grows with its data centre and the
/// number of these, not with the fleet.
///
/// All of it only makes decisions better: a host that hears nobody goes on
/// with what it sees by itself.
///
/// Thread safety: none; owned by one task.
class peer_table
{
public:
    /// With fewer others each host watches the store itself and tells all:
    /// nothing is gained by sharing, and each is independent of the others.
    static constexpr std::size_t min_peers_of_large_fleet = 12;

    /// `own` is never taken for a peer; `seeds` are asked until they answer.
    /// `data_centre` is a hash of its name.
    peer_table(model::endpoint own,
               std::uint64_t data_centre,
               std::vector<model::endpoint> const& seeds);

    /// Seeds may name hosts that start later, or be replaced.
    void seeds(std::vector<model::endpoint> const& seeds);

    void record_digest(model::endpoint const& from,
                       peer_digest const& digest,
                       model::time_point now);

    /// Drops what silent hosts have told.
    void forget_silent(model::time_point now);

    struct recipient
    {
        model::endpoint at;
        digest_kind kind = digest_kind::presence;
        /// It has not been heard: an answer is wanted.
        bool requests_reply = false;
        /// It has not been told lately which hosts there are.
        bool wants_neighbours = false;
    };

    /// Whom to tell what now, where this host knows `own` of the store;
    /// `is_news`: loads have changed so much that hosts of other data centres
    /// would place otherwise.
    std::vector<recipient> recipients(model::time_point now,
                                      store_revisions const& own,
                                      bool has_load_change);

    /// Whom to tell of a change at once: some hosts nearby, from `draw` on,
    /// and those that relay it to other data centres. The rest hear of it by
    /// the next digests of any of these, and ask any of them: if all asked
    /// the first one, the 3,001 entries of a starting fleet of 296 hosts kept
    /// its link of 10 Mbit/s full for half a minute.
    std::vector<recipient> recipients_of_change(model::time_point now,
                                                store_revisions const& own,
                                                std::uint64_t random_value);

    /// Hosts that concern the host at `to`, at most `most`: those of its data
    /// centre, and those that speak for others. `draw` is any number: each
    /// call begins elsewhere in the list, so that all are told in turn.
    std::vector<neighbour> neighbours_for(model::endpoint const& to,
                                          std::size_t max_count,
                                          std::uint64_t random_value) const;

    /// Adds up what the others have told; to be called before `load_of`.
    void aggregate();

    /// Whether this host speaks for its data centre.
    ///
    /// Loads that are older than a prompt takes to be read mislead, and in a
    /// large fleet each host can't hear all others that often: one in each
    /// data centre exchanges sums with those of the others.
    bool is_aggregator() const;

    /// Whether this host exchanges beliefs with other data centres: the one
    /// that speaks, and one more, so that the loss of one cuts off nobody.
    bool is_gateway() const;

    /// What to tell, where `own` has what this host has sent, suspects and
    /// knows of the store.
    digest_set make_digests(peer_digest own) const;

    /// What the other data centres' hosts have sent.
    std::vector<peer_load> remote_loads() const;

    /// Hosts that tell this one their loads.
    std::size_t near_count() const;

    /// Other hosts that are there, heard by this one or by those that speak
    /// for their data centres.
    std::size_t alive() const
    {
        return m_fleet_size - 1;
    }

    /// The largest fleet that this host or any it heard has known, with this
    /// one. Hosts that can't be reached may still send.
    std::size_t largest_fleet_seen() const
    {
        return m_largest_fleet_seen;
    }

    /// What the others have sent to an upstream and seen of it.
    peer_load load_of(std::uint32_t upstream) const;

    /// Crashes that the others have counted.
    std::uint32_t crashes_of(std::uint64_t fingerprint) const;

    /// What the others have been told by an upstream of the requests that it
    /// takes; nothing if none has.
    std::optional<limit_notice> limit_of(std::uint32_t upstream) const;

    /// This host's place among those that share the limit of an upstream,
    /// which stands in this host's data centre if `is_here`.
    ///
    /// In a small fleet all hosts hear each other. In a large one those of the
    /// upstream's data centre do, and share it among themselves.
    limit_share limit_share_for(std::uint32_t upstream, bool is_here) const;

    bool has_no_crashes() const
    {
        return m_crashes.empty();
    }

    /// A host that knows more of the store, and is to be asked for it.
    struct source
    {
        /// Null if there is none.
        model::endpoint const* at = nullptr;
        /// It stands in this host's data centre.
        bool is_near = false;
        /// It gives both lanes in one list, as earlier versions do.
        bool sends_combined_list = false;
    };

    /// One of the hosts that know more than `own` of `which`; `draw` is any
    /// number.
    ///
    /// When all asked the same one, a fleet of 296 hosts that starts asked
    /// one link for 200 MB: a published configuration was in force after 18 s
    /// in place of one. Each draws its own, of its own data centre where one
    /// knows more: what crosses between data centres is paid for.
    source newer_than(store_revisions const& own,
                      list_kind which,
                      std::uint64_t random_value) const;

    /// The newest of `which` that any host has told to know.
    std::uint64_t newest(list_kind which) const;

    /// Whether this host is one of those that watch the store for all.
    ///
    /// Each watch of each host is a call that the store limits and that is
    /// paid for, and each change ends all watches: in a large fleet a few
    /// hosts watch, some in each data centre, and the others hear of changes
    /// from them.
    bool is_store_watcher() const;

private:
    struct peer
    {
        /// Before anything was heard: its data centre and whether it relays,
        /// as another host has said, if `is_placed`.
        peer_digest digest;
        model::time_point received_at{};
        model::time_point sent_at{};
        model::time_point learned_at{};
        model::time_point neighbours_sent_at{};
        /// What it was last told to be known here.
        store_revisions sent_revisions;
        bool is_live = false;
        bool is_seed = false;
        bool has_known_data_centre = false;
        bool reply_requested = false;
    };

    struct by_address
    {
        bool operator()(model::endpoint const& a,
                        model::endpoint const& b) const
        {
            return a.address != b.address ? a.address < b.address
                                          : a.port < b.port;
        }
    };

    peer* learn(model::endpoint const& address);
    void learn(neighbour const& other, model::time_point now);
    void recount();
    bool is_large() const;
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
    std::vector<peer_load>
    aggregate_with(std::vector<peer_load> const& own) const;
    std::vector<crash_suspect> local_suspects() const;
    std::vector<crash_suspect> remote_suspects() const;
    using limit_notices = std::unordered_map<std::uint32_t, limit_notice>;
    static void add_limits(limit_notices& sum, peer const& known);
    std::vector<advertised_limit> local_limits() const;
    std::vector<advertised_limit> remote_limits() const;
    std::vector<advertised_limit> listed_limits(limit_notices const& sum) const;

    model::endpoint m_own;
    std::uint64_t m_data_centre;
    std::map<model::endpoint, peer, by_address> m_peers;
    std::unordered_map<std::uint32_t, peer_load> m_loads;
    std::unordered_map<std::uint64_t, std::uint32_t> m_crashes;
    limit_notices m_limits;
    /// The newest time that was given.
    model::time_point m_now{};

    // Counted anew when a host comes, goes or says otherwise.
    std::size_t m_fleet_size = 1;
    std::size_t m_local_peers = 0;
    std::size_t m_local_rank = 0;
    std::size_t m_data_centre_count = 1;
    std::size_t m_largest_fleet_seen = 1;
};

} // namespace caperjunction::routing

#endif
