#include "fleet/witness.hpp"

#include <algorithm>

namespace caperjunction::fleet {

void witness::adopt_view(std::shared_ptr<claim_view const> view,
                         model::time_point now,
                         messages& out)
{
    // A delayed list must not restore old witness sets.
    if (m_view != nullptr && view->revision() <= m_view->revision()) {
        return;
    }
    // A starting host has just read its first list or received it from a peer.
    m_confirmed = m_view == nullptr ? now : m_confirmed;
    std::map<std::string, std::vector<std::size_t>> to;
    for (std::size_t bucket = 0; bucket < m_buckets.size(); ++bucket) {
        grant_matured_vote(bucket, now);
        auto& state = m_buckets[bucket];
        bool const member =
            !m_leaving && view->is_witness(m_settings.host, bucket);
        if (state.vote && !member && !holds_vote_for(bucket, *view)) {
            // A leaving host has given its vote to the next in rank, which may
            // not be the host that the next list puts in its place.
            auto const name =
                m_view->successor(original_member(bucket), bucket, *view);
            to[name].push_back(bucket);
        }
        if (member && !state.member) {
            state.entered = now;
            state.original_member.clear();
        }
        if (member && m_view == nullptr && m_settings.first_fleet) {
            state.vote = true;
            state.origin = origin();
        }
        auto const count = view->witnesses(bucket).size();
        // Votes of a larger set may still exist; the majority of that set
        // counts.
        state.voters =
            std::max(state.voters, static_cast<std::uint32_t>(count));
        state.member = member;
    }
    m_view = std::move(view);
    hand_over(to, now, out);
}

// Gives the votes up and offers each to its successor, with all claims of its
// bucket. A vote without a successor is lost.
void witness::hand_over(
    std::map<std::string, std::vector<std::size_t>> const& to,
    model::time_point now,
    messages& out)
{
    std::vector<bool> handed_over_buckets(m_buckets.size(), false);
    for (auto const& [name, buckets] : to) {
        for (std::size_t const bucket : buckets) {
            m_buckets[bucket].vote = false;
            handed_over_buckets[bucket] = true;
        }
    }
    auto claims = to.empty()
                      ? std::map<std::size_t, std::vector<claim_record>>()
                      : m_claim_table.collect(handed_over_buckets, now);
    for (auto const& [name, buckets] : to) {
        witness_hand_over* transfer_part = nullptr;
        for (std::size_t const bucket : buckets) {
            auto const& records = claims[bucket];
            if (name.empty()) {
                continue;
            }
            bool const is_full =
                transfer_part != nullptr
                && transfer_part->transfer.claims.size() + records.size()
                       > m_settings.claims.transfer_claims;
            if (transfer_part == nullptr || is_full) {
                transfer_part = &m_hand_overs[++m_offers];
                transfer_part->to = name;
                transfer_part->started = now;
                transfer_part->transfer.generation = m_settings.generation;
                transfer_part->transfer.number = m_offers;
            }
            auto const& state = m_buckets[bucket];
            transfer_part->transfer.votes.push_back(
                {static_cast<std::uint32_t>(bucket),
                 state.voters,
                 state.origin});
            transfer_part->original_members.push_back(original_member(bucket));
            transfer_part->transfer.claims.insert(
                transfer_part->transfer.claims.end(),
                records.begin(),
                records.end());
        }
    }
    advance_hand_overs(now, out);
}

// The offer is sent before the transfer, so that the votes are bound to one
// process: a duplicate that reaches a restarted host would restore a vote
// without the claims granted since.
void witness::advance_hand_overs(model::time_point now, messages& out)
{
    auto const& settings = m_settings.claims;
    std::erase_if(m_hand_overs, [&](auto const& entry) {
        return now - entry.second.started > settings.transfer_lease;
    });
    if (m_leaving) {
        reassign_unaccepted();
    }
    for (auto& [number, hand_over] : m_hand_overs) {
        bool const is_due = hand_over.sent == model::time_point{}
                            || now - hand_over.sent >= settings.resend_after;
        if (!is_due) {
            continue;
        }
        hand_over.sent = now;
        if (hand_over.transfer.to_generation == 0) {
            ++hand_over.offers;
            out.push_back(
                {hand_over.to, claim_offer{m_settings.generation, number}});
        } else {
            out.push_back({hand_over.to, hand_over.transfer});
        }
    }
}

void witness::on_message(std::string const& from,
                         claim_offer const& offer,
                         model::time_point now,
                         messages& out)
{
    auto& incoming = m_incoming[{from, offer.generation}];
    incoming.last_used = now;
    auto const known = incoming.open.find(offer.number);
    if (known != incoming.open.end() && known->second.imported) {
        out.push_back(
            {from, claim_transfer_ack{offer.generation, offer.number}});
        return;
    }
    bool const is_new = offer.number > incoming.highest;
    bool const can_accept =
        !m_leaving && m_pause_detector.is_current() && !view_expired(now);
    if (!can_accept || (!is_new && known == incoming.open.end())) {
        return;
    }
    if (is_new) {
        incoming.highest = offer.number;
        incoming.open[offer.number].accepted = now;
    }
    out.push_back(
        {from,
         claim_accept{m_settings.generation, offer.generation, offer.number}});
}

void witness::on_message(std::string const& from,
                         claim_accept const& accept,
                         model::time_point now,
                         messages& out)
{
    auto const found = m_hand_overs.find(accept.number);
    if (accept.offer_generation != m_settings.generation
        || found == m_hand_overs.end() || found->second.to != from) {
        return;
    }
    auto& transfer = found->second.transfer;
    bool const too_late =
        now - found->second.started > m_settings.claims.transfer_lease;
    bool const other_process = transfer.to_generation != 0
                               && transfer.to_generation != accept.generation;
    if (too_late || other_process) {
        m_hand_overs.erase(found);
        return;
    }
    transfer.to_generation = accept.generation;
    found->second.sent = now;
    out.push_back({from, transfer});
}

void witness::on_message(std::string const& from,
                         claim_transfer const& transfer,
                         model::time_point now,
                         messages& out)
{
    if (transfer.to_generation != m_settings.generation) {
        return;
    }
    auto const incoming = m_incoming.find({from, transfer.generation});
    if (incoming == m_incoming.end()) {
        return;
    }
    auto const offer = incoming->second.open.find(transfer.number);
    if (offer == incoming->second.open.end()) {
        return;
    }
    auto const age = now - offer->second.accepted;
    if (!offer->second.imported) {
        if (age > m_settings.claims.transfer_lease || m_leaving
            || view_expired(now)) {
            return;
        }
        offer->second.imported = true;
        import_transfer(from, transfer, now);
    }
    out.push_back(
        {from, claim_transfer_ack{transfer.generation, transfer.number}});
}

void witness::import_transfer(std::string const& from,
                              claim_transfer const& transfer,
                              model::time_point now)
{
    for (auto const& record : transfer.claims) {
        auto const bucket = claim_bucket(record.key, m_buckets.size());
        auto const* own = m_claim_table.find(record.key);
        // A claim granted with the vote takes precedence over one stored here
        // without a vote. If this host already has a vote, its own claim stays;
        // the transferred vote ends here.
        if (own != nullptr && m_buckets[bucket].vote) {
            continue;
        }
        m_claim_table.put(record.key,
                          {record.attempt,
                           record.fingerprint,
                           record.state,
                           now + record.remaining});
    }
    for (auto const& vote : transfer.votes) {
        if (vote.bucket >= m_buckets.size()) {
            continue;
        }
        auto& state = m_buckets[vote.bucket];
        state.voters = std::max(state.voters, vote.voters);
        if (!state.vote) {
            state.vote = true;
            state.origin = vote.origin;
            state.original_member = state.member ? std::string() : from;
        }
    }
}

} // namespace caperjunction::fleet
