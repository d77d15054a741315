#include "fleet/witness.hpp"

#include <iterator>

namespace caperjunction::fleet {

void witness::on_event(claim_stop_planned const& /*event*/,
                       model::time_point now,
                       messages& out)
{
    if (m_leaving) {
        return;
    }
    // First no vote more, then the hand-over: a claim granted after the copy
    // was made would be missing from it.
    m_leaving = true;
    m_unresponsive.insert(m_settings.host);
    if (m_view == nullptr) {
        return;
    }
    claim_view const next = m_view->without(m_unresponsive);
    std::map<std::string, std::vector<std::size_t>> to;
    for (std::size_t bucket = 0; bucket < m_buckets.size(); ++bucket) {
        mature(bucket, now);
        if (m_buckets[bucket].vote) {
            auto const name =
                m_view->successor(original_member(bucket), bucket, next);
            to[name].push_back(bucket);
        }
    }
    hand_over(to, now, out);
}

// A host that restarts in place stays on the list, and entry hosts ask it
// again; its new process has no vote, and the one that its old process gave
// away is asked by nobody. Bookings of these buckets would lack a vote until
// the new process has matured, and those of three such hosts a quorum. So
// whoever keeps a vote for that host gives it back.
void witness::on_event(claim_host_restarted const& event,
                       model::time_point now,
                       messages& out)
{
    if (m_leaving || m_view == nullptr) {
        return;
    }
    std::map<std::string, std::vector<std::size_t>> to;
    for (std::size_t bucket = 0; bucket < m_buckets.size(); ++bucket) {
        if (original_member(bucket) == event.host
            && holds_vote_for(bucket, *m_view)) {
            to[event.host].push_back(bucket);
        }
    }
    hand_over(to, now, out);
}

// Whether a vote is held here only until a host that is a witness by `view`
// runs again.
bool witness::holds_vote_for(std::size_t bucket, claim_view const& view) const
{
    auto const& state = m_buckets[bucket];
    return state.vote && !state.original_member.empty()
           && !view.is_witness(m_settings.host, bucket)
           && view.is_witness(state.original_member, bucket);
}

std::string const& witness::original_member(std::size_t bucket) const
{
    auto const& state = m_buckets[bucket];
    return state.original_member.empty() ? m_settings.host
                                         : state.original_member;
}

// Several hosts that stop one after another, faster than the list follows,
// offer votes to hosts that are gone. An offer that nobody accepted binds
// nobody, so another host may have the votes.
void witness::reassign_unaccepted()
{
    constexpr std::uint32_t s_offers = 3;
    std::vector<witness_hand_over> refused;
    for (auto at = m_hand_overs.begin(); at != m_hand_overs.end();) {
        bool const open = at->second.transfer.to_generation == 0;
        if (open && at->second.offers >= s_offers) {
            m_unresponsive.insert(at->second.to);
            refused.push_back(std::move(at->second));
            at = m_hand_overs.erase(at);
        } else {
            ++at;
        }
    }
    for (auto const& one : refused) {
        split_by_successor(one);
    }
}

void witness::split_by_successor(witness_hand_over const& refused)
{
    std::map<std::string, claim_view> next;
    std::map<std::string, witness_hand_over> parts;
    for (std::size_t index = 0; index < refused.original_members.size();
         ++index) {
        auto const& vote = refused.transfer.votes[index];
        auto const& original_member = refused.original_members[index];
        if (next.count(original_member) == 0) {
            auto gone = m_unresponsive;
            gone.insert(original_member);
            next.emplace(original_member, m_view->without(gone));
        }
        auto const name = m_view->successor(
            original_member, vote.bucket, next.at(original_member));
        auto& part = parts[name];
        part.original_members.push_back(original_member);
        part.transfer.votes.push_back(vote);
        for (auto const& claim : refused.transfer.claims) {
            if (claim_bucket(claim.key, m_buckets.size()) == vote.bucket) {
                part.transfer.claims.push_back(claim);
            }
        }
    }
    // Nobody is left to have those.
    parts.erase("");
    for (auto& [name, part] : parts) {
        part.to = name;
        part.started = refused.started;
        part.transfer.generation = m_settings.generation;
        part.transfer.number = ++m_offers;
        m_hand_overs.emplace(m_offers, std::move(part));
    }
}

} // namespace caperjunction::fleet
