#ifndef CAPERJUNCTION_FLEET_WITNESS_HPP
#define CAPERJUNCTION_FLEET_WITNESS_HPP

#include "fleet/claim_event.hpp"
#include "fleet/claim_settings.hpp"
#include "fleet/claim_table.hpp"
#include "fleet/claim_view.hpp"
#include "fleet/pause_detector.hpp"
#include "fleet/witness_hand_over.hpp"
#include "fleet/witness_settings.hpp"
#include "model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace caperjunction::fleet {

/// Stores in memory which attempt runs a non-repeatable call.
///
/// Each bucket of keys has a fixed number of votes in the whole fleet. A vote
/// is held by one process, moves to one other process when the list of hosts
/// changes or its host leaves, and is lost with its process. An attempt with a
/// majority of the votes may run the call. Two majorities of the same votes
/// share at least one vote, however far the lists of two hosts differ, and that
/// vote refuses the second attempt.
///
/// Thread safety: none; owned by one task. Copyable, for exploration.
class witness
{
public:
    explicit witness(witness_settings settings);

    /// Handles one event at time `now` and appends the messages to send to
    /// `out`.
    ///
    /// \pre `now` is not before that of any earlier call.
    void handle(witness_event const& event,
                model::time_point now,
                std::vector<claim_send>& out);

    /// Returns whether this host holds a vote of the bucket.
    bool has_vote(std::size_t bucket) const
    {
        return m_buckets[bucket].vote;
    }

    /// Returns the number of stored claims.
    std::size_t claims() const
    {
        return m_claim_table.size();
    }

    /// Returns whether every vote handed over has arrived or been given up. A
    /// planned stop waits for it.
    bool hand_over_complete() const
    {
        return m_hand_overs.empty();
    }

    /// Appends the serialized state; equal states give equal bytes. See
    /// claim_fingerprint.hpp.
    void fingerprint(model::time_point now, std::string& out) const;

private:
    /// State of one bucket on this host.
    struct bucket_state
    {
        bool member = false;
        bool vote = false;
        std::uint32_t voters = 0;
        /// Identifies the vote; stays with it in every transfer.
        std::uint64_t origin = 0;
        /// Holding a vote without being a member: the member it came from.
        std::string original_member;
        /// Start of the uninterrupted membership.
        model::time_point entered{};
    };

    using messages = std::vector<claim_send>;

    void on_event(claim_view_listed const& event,
                  model::time_point now,
                  messages& out);
    void on_event(claim_view_confirmed const& event,
                  model::time_point now,
                  messages& out);
    void
    on_event(claim_received const& event, model::time_point now, messages& out);
    void on_event(claim_host_restarted const& event,
                  model::time_point now,
                  messages& out);
    void on_event(claim_stop_planned const& event,
                  model::time_point now,
                  messages& out);
    bool holds_vote_for(std::size_t bucket, claim_view const& view) const;
    void
    on_event(claim_tick const& event, model::time_point now, messages& out);

    void on_message(std::string const& from,
                    claim_request const& request,
                    model::time_point now,
                    messages& out);
    void on_message(std::string const& from,
                    claim_offer const& offer,
                    model::time_point now,
                    messages& out);
    void on_message(std::string const& from,
                    claim_accept const& accept,
                    model::time_point now,
                    messages& out);
    void on_message(std::string const& from,
                    claim_transfer const& transfer,
                    model::time_point now,
                    messages& out);

    std::uint64_t origin() const;
    bool view_expired(model::time_point now) const;
    void expire_votes(model::time_point now);
    void grant_matured_vote(std::size_t bucket, model::time_point now);
    void import_transfer(std::string const& from,
                         claim_transfer const& transfer,
                         model::time_point now);
    claim_refusal refusal(claim_request const& request,
                          model::time_point now) const;
    claim_reply evaluate(claim_request const& request, model::time_point now);
    void adopt_view(std::shared_ptr<claim_view const> view,
                    model::time_point now,
                    messages& out);
    void hand_over(std::map<std::string, std::vector<std::size_t>> const& to,
                   model::time_point now,
                   messages& out);
    void advance_hand_overs(model::time_point now, messages& out);
    void reassign_unaccepted();
    void split_by_successor(witness_hand_over const& unaccepted);
    std::string const& original_member(std::size_t bucket) const;

    witness_settings m_settings;
    pause_detector m_pause_detector;
    std::shared_ptr<claim_view const> m_view;
    model::time_point m_confirmed{};
    model::time_point m_last_pause_end{};
    bool m_leaving = false;
    std::vector<bucket_state> m_buckets;
    claim_table m_claim_table;
    std::uint64_t m_offers = 0;
    std::map<std::uint64_t, witness_hand_over> m_hand_overs;
    /// Hosts that accepted no offer since this one began to leave, and itself.
    std::set<std::string> m_unresponsive;
    /// By host and generation of the offering process.
    std::map<std::pair<std::string, std::uint64_t>, incoming_hand_over>
        m_incoming;
};

} // namespace caperjunction::fleet

#endif
