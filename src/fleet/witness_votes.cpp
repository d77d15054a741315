#include "fleet/witness.hpp"

#include <algorithm>

namespace caperjunction::fleet {

void witness::adopt_view(std::shared_ptr<claim_view const> view,
                         model::time_point now,
                         messages& out)
{
    // A list that arrives late must not bring old witness sets back.
    if (m_view != nullptr && view->revision() <= m_view->revision()) {
        return;
    }
    // A starting host just read its first list, or was given it by a peer.
    m_confirmed = m_view == nullptr ? now : m_confirmed;
    std::map<std::string, std::vector<std::size_t>> to;
    for (std::size_t bucket = 0; bucket < m_buckets.size(); ++bucket) {
        mature(bucket, now);
        auto& state = m_buckets[bucket];
        bool const member =
            !m_leaving && view->is_witness(m_settings.host, bucket);
        if (state.vote && !member && !holds_vote_for(bucket, *view)) {
            // A host that leaves gives its vote to the next in rank, which
            // may not be the one that the next list puts in its place.
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
        // Votes of a larger set may still be about; their majority counts.
        state.voters =
            std::max(state.voters, static_cast<std::uint32_t>(count));
        state.member = member;
    }
    m_view = std::move(view);
    hand_over(to, now, out);
}

// Gives the votes up and offers them to their one successor each, with all
// that they stand for. A vote without a successor is gone.
void witness::hand_over(
    std::map<std::string, std::vector<std::size_t>> const& to,
    model::time_point now,
    messages& out)
{
    std::vector<bool> wanted(m_buckets.size(), false);
    for (auto const& [name, buckets] : to) {
        for (std::size_t const bucket : buckets) {
            m_buckets[bucket].vote = false;
            wanted[bucket] = true;
        }
    }
    auto claims = to.empty()
                      ? std::map<std::size_t, std::vector<claim_record>>()
                      : m_claim_table.collect(wanted, now);
    for (auto const& [name, buckets] : to) {
        witness_hand_over* part = nullptr;
        for (std::size_t const bucket : buckets) {
            auto const& records = claims[bucket];
            if (name.empty()) {
                continue;
            }
            bool const full = part != nullptr
                              && part->transfer.claims.size() + records.size()
                                     > m_settings.claims.transfer_claims;
            if (part == nullptr || full) {
                part = &m_hand_overs[++m_offers];
                part->to = name;
                part->started = now;
                part->transfer.generation = m_settings.generation;
                part->transfer.number = m_offers;
            }
            auto const& state = m_buckets[bucket];
            part->transfer.votes.push_back({static_cast<std::uint32_t>(bucket),
                                            state.voters,
                                            state.origin});
            part->original_members.push_back(original_member(bucket));
            part->transfer.claims.insert(
                part->transfer.claims.end(), records.begin(), records.end());
        }
    }
    advance_hand_overs(now, out);
}

// An offer goes first, so that the votes are bound to one process: a copy
// that reaches a restarted host would bring a vote back without the claims
// that it was given for since.
void witness::advance_hand_overs(model::time_point now, messages& out)
{
    auto const& timing = m_settings.claims;
    std::erase_if(m_hand_overs, [&](auto const& entry) {
        return now - entry.second.started > timing.transfer_lease;
    });
    if (m_leaving) {
        reassign_unaccepted();
    }
    for (auto& [number, hand_over] : m_hand_overs) {
        bool const due = hand_over.sent == model::time_point{}
                         || now - hand_over.sent >= timing.resend_after;
        if (!due) {
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
    auto& intake = m_incoming[{from, offer.generation}];
    intake.used = now;
    auto const known = intake.open.find(offer.number);
    if (known != intake.open.end() && known->second.imported) {
        out.push_back(
            {from, claim_transfer_ack{offer.generation, offer.number}});
        return;
    }
    bool const fresh = offer.number > intake.highest;
    bool const able =
        !m_leaving && m_pause_detector.is_current() && !view_expired(now);
    if (!able || (!fresh && known == intake.open.end())) {
        return;
    }
    if (fresh) {
        intake.highest = offer.number;
        intake.open[offer.number].accepted = now;
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
    bool const late =
        now - found->second.started > m_settings.claims.transfer_lease;
    bool const other = transfer.to_generation != 0
                       && transfer.to_generation != accept.generation;
    if (late || other) {
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
    auto const intake = m_incoming.find({from, transfer.generation});
    if (intake == m_incoming.end()) {
        return;
    }
    auto const offer = intake->second.open.find(transfer.number);
    if (offer == intake->second.open.end()) {
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
        // What the vote was given for goes before what was stored here
        // without one; with two votes, one of them ends here anyway.
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
