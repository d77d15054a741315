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
enum class share : std::uint8_t
{
    /// It places by loads: those of this host, and beyond if this speaks.
    loads,
    /// It speaks for another data centre: the sums of this one.
    sums,
    /// That this host is there, and what it knows of the store.
    beliefs,
};

/// What a host has to tell at one time.
struct fleet_news
{
    peer_digest loads;
    peer_digest sums;
    peer_digest beliefs;

    peer_digest const& of(share what) const
    {
        return what == share::loads  ? loads
               : what == share::sums ? sums
                                     : beliefs;
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
    static constexpr std::size_t least_to_share = 12;

    /// `own` is never taken for a peer; `seeds` are asked until they answer.
    /// `data_centre` is a hash of its name.
    peer_table(model::endpoint own,
               std::uint64_t data_centre,
               std::vector<model::endpoint> const& seeds);

    /// Seeds may name hosts that start later, or be replaced.
    void seeds(std::vector<model::endpoint> const& seeds);

    void hear(model::endpoint const& from,
              peer_digest const& told,
              model::time_point now);

    /// Drops what silent hosts have told.
    void forget_silent(model::time_point now);

    struct listener
    {
        model::endpoint at;
        share what = share::beliefs;
        /// It has not been heard: an answer is wanted.
        bool asks = false;
        /// It has not been told lately which hosts there are.
        bool wants_names = false;
    };

    /// Whom to tell what now, where this host knows `own` of the store;
    /// `is_news`: loads have changed so much that hosts of other data centres
    /// would place otherwise.
    std::vector<listener>
    audience(model::time_point now, store_revisions const& own, bool is_news);

    /// Whom to tell of a change at once: some hosts nearby, from `draw` on,
    /// and those that relay it to other data centres. The rest hear of it by
    /// the next digests of any of these, and ask any of them: if all asked
    /// the first one, the 3,001 entries of a starting fleet of 296 hosts kept
    /// its link of 10 Mbit/s full for half a minute.
    std::vector<listener> audience_of_change(model::time_point now,
                                             store_revisions const& own,
                                             std::uint64_t draw);

    /// Hosts that concern the host at `to`, at most `most`: those of its data
    /// centre, and those that speak for others. `draw` is any number: each
    /// call begins elsewhere in the list, so that all are told in turn.
    std::vector<neighbour> neighbours_for(model::endpoint const& to,
                                          std::size_t most,
                                          std::uint64_t draw) const;

    /// Adds up what the others have told; to be called before `load_of`.
    void add_up();

    /// Whether this host speaks for its data centre.
    ///
    /// Loads that are older than a prompt takes to be read mislead, and in a
    /// large fleet each host can't hear all others that often: one in each
    /// data centre exchanges sums with those of the others.
    bool speaks() const;

    /// Whether this host exchanges beliefs with other data centres: the one
    /// that speaks, and one more, so that the loss of one cuts off nobody.
    bool relays() const;

    /// What to tell, where `own` has what this host has sent, suspects and
    /// knows of the store.
    fleet_news news(peer_digest own) const;

    /// What the other data centres' hosts have sent.
    std::vector<peer_load> beyond() const;

    /// Hosts that tell this one their loads.
    std::size_t nearby() const;

    /// Other hosts that are there, heard by this one or by those that speak
    /// for their data centres.
    std::size_t alive() const
    {
        return m_fleet - 1;
    }

    /// The largest fleet that this host or any it heard has known, with this
    /// one. Hosts that can't be reached may still send.
    std::size_t most_seen() const
    {
        return m_most_seen;
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
    limit_place place_for(std::uint32_t upstream, bool is_here) const;

    bool counts_no_crash() const
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
        bool has_one_list = false;
    };

    /// One of the hosts that know more than `own` of `which`; `draw` is any
    /// number.
    ///
    /// When all asked the same one, a fleet of 296 hosts that starts asked
    /// one link for 200 MB: a published configuration was in force after 18 s
    /// in place of one. Each draws its own, of its own data centre where one
    /// knows more: what crosses between data centres is paid for.
    source newer_than(store_revisions const& own,
                      lane which,
                      std::uint64_t draw) const;

    /// The newest of `which` that any host has told to know.
    std::uint64_t newest(lane which) const;

    /// Whether this host is one of those that watch the store for all.
    ///
    /// Each watch of each host is a call that the store limits and that is
    /// paid for, and each change ends all watches: in a large fleet a few
    /// hosts watch, some in each data centre, and the others hear of changes
    /// from them.
    bool is_reader() const;

private:
    struct peer
    {
        /// Before anything was heard: its data centre and whether it relays,
        /// as another host has said, if `is_placed`.
        peer_digest told;
        model::time_point heard_at{};
        model::time_point asked_at{};
        model::time_point learnt_at{};
        model::time_point named_at{};
        /// What it was last told to be known here.
        store_revisions told_known;
        bool is_heard = false;
        bool is_seed = false;
        bool is_placed = false;
        bool wants_answer = false;
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
    bool is_here(peer const& known) const;
    bool is_near(peer const& known) const;
    bool is_worth_asking(peer const& known) const;
    bool is_due_far(peer const& known,
                    model::time_point now,
                    store_revisions const& own) const;
    bool is_due_with_loads(peer const& known,
                           model::time_point now,
                           bool is_news) const;
    share share_of(peer const& known) const;
    listener tell(model::endpoint const& at,
                  peer& known,
                  model::time_point now,
                  store_revisions const& own) const;
    bool ranks_before(model::endpoint const& a, model::endpoint const& b) const;
    std::vector<peer const*> far_speakers() const;
    std::vector<peer_load> sums_with(std::vector<peer_load> const& own) const;
    std::vector<crash_suspect> suspects_here() const;
    std::vector<crash_suspect> suspects_beyond() const;
    using limit_notices = std::unordered_map<std::uint32_t, limit_notice>;
    static void add_limits(limit_notices& sum, peer const& known);
    std::vector<told_limit> limits_here() const;
    std::vector<told_limit> limits_beyond() const;
    std::vector<told_limit> listed_limits(limit_notices const& sum) const;

    model::endpoint m_own;
    std::uint64_t m_data_centre;
    std::map<model::endpoint, peer, by_address> m_peers;
    std::unordered_map<std::uint32_t, peer_load> m_loads;
    std::unordered_map<std::uint64_t, std::uint32_t> m_crashes;
    limit_notices m_limits;
    /// The newest time that was given.
    model::time_point m_now{};

    // Counted anew when a host comes, goes or says otherwise.
    std::size_t m_fleet = 1;
    std::size_t m_here = 0;
    std::size_t m_rank_here = 0;
    std::size_t m_centres = 1;
    std::size_t m_most_seen = 1;
};

} // namespace caperjunction::routing

#endif
