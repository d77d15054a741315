#ifndef CAPERJUNCTION_ROUTING_PEER_TABLE_HPP
#define CAPERJUNCTION_ROUTING_PEER_TABLE_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "routing/peer_digest.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace caperjunction::routing {

/// What this host knows of the others.
///
/// All of it only makes decisions better: a host that hears nobody goes on
/// with what it sees by itself.
///
/// Thread safety: none; owned by one task.
class peer_table
{
public:
    /// With fewer others each host watches the store itself: nothing is
    /// gained by sharing, and each is independent of the others.
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

    /// What a host is told.
    enum class share : std::uint8_t
    {
        /// It places by loads: those of this host, and beyond if this speaks.
        loads,
        /// It speaks for another data centre: the sums of this one.
        sums,
        /// That this host is there, and what it knows of the store.
        beliefs,
    };

    struct listener
    {
        model::endpoint at;
        share what = share::beliefs;
    };

    /// Whom to tell what now. Those that don't answer, and those far away
    /// that need no loads, are told more seldom.
    std::vector<listener> audience(model::time_point now);

    /// Adds up what the others have told; to be called before `load_of`.
    void add_up();

    /// Whether this host speaks for its data centre.
    ///
    /// Loads that are older than a prompt takes to be read mislead, and in a
    /// large fleet each host can't hear all others that often: one in each
    /// data centre exchanges sums with those of the others.
    bool speaks() const;

    /// What this data centre's hosts have sent, but for this one.
    std::vector<peer_load> sums() const;

    /// What the other data centres' hosts have sent.
    std::vector<peer_load> beyond() const;

    /// Hosts that tell this one their loads.
    std::size_t nearby() const;

    /// Hosts that are heard, at most `most`, for the audience to learn of.
    std::vector<model::endpoint> heard(std::size_t most) const;

    /// Hosts heard lately, without this one.
    std::size_t alive() const
    {
        return m_alive;
    }

    /// The largest fleet that this host or any it heard has known, with this
    /// one. Hosts that can't be reached may still send.
    std::size_t most_seen() const
    {
        return m_most_seen;
    }

    /// What the others have sent to an upstream.
    upstream_load load_of(std::uint64_t upstream) const;

    /// Crashes that the others have counted.
    std::uint32_t crashes_of(std::uint64_t fingerprint) const;

    bool counts_no_crash() const
    {
        return m_crashes.empty();
    }

    /// A host that has applied changes beyond `revision`; null if none.
    model::endpoint const* newer_than(std::uint64_t revision) const;

    /// Whether this host is one of those that watch the store for all.
    ///
    /// Each watch of each host is a call that the store limits and that is
    /// paid for, and each change ends all watches: in a large fleet a few
    /// hosts watch, chosen alike by all, and the others hear of changes from
    /// them.
    bool is_reader() const;

    /// Any host that is heard; null if none.
    model::endpoint const* any() const;

private:
    struct peer
    {
        peer_digest told;
        model::time_point heard_at{};
        model::time_point asked_at{};
        bool is_heard = false;
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

    void learn(model::endpoint const& address);
    bool is_near(peer const& known) const;
    bool ranks_before(model::endpoint const& a, model::endpoint const& b) const;

    model::endpoint m_own;
    std::uint64_t m_data_centre;
    std::map<model::endpoint, peer, by_address> m_peers;
    std::unordered_map<std::uint64_t, upstream_load> m_loads;
    std::unordered_map<std::uint64_t, std::uint32_t> m_crashes;
    std::size_t m_alive = 0;
    std::size_t m_most_seen = 1;
};

} // namespace caperjunction::routing

#endif
