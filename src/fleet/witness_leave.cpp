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
    // Stop granting votes before the hand-over: the copy would miss any claim
    // granted after it.
    m_leaving = true;
    m_unresponsive.insert(m_settings.host);
    if (m_view == nullptr) {
        return;
    }
    claim_view const next = m_view->without(m_unresponsive);
    std::map<std::string, std::vector<std::size_t>> to;
    for (std::size_t bucket = 0; bucket < m_buckets.size(); ++bucket) {
        grant_matured_vote(bucket, now);
        if (m_buckets[bucket].vote) {
            auto const name =
                m_view->successor(original_member(bucket), bucket, next);
            to[name].push_back(bucket);
        }
    }
    hand_over(to, now, out);
}

// A host that restarts in place stays on the list, and entry hosts request
// votes from it. Its new process has none, and no entry host asks the holder of
// the vote that the old process handed over. Bookings of these buckets would
// lack one vote until the new process reaches maturity, and a quorum after
// three such restarts. The holder therefore returns the vote.
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

// Returns whether this host holds the vote only until its original member, a
// witness by `view`, runs again.
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

// Hosts that stop faster than the list is updated offer votes to hosts that are
// gone. An offer that no process has accepted is not binding, so the votes
// may be offered to another host.
void witness::reassign_unaccepted()
{
    constexpr std::uint32_t max_offers = 3;
    std::vector<witness_hand_over> unaccepted;
    for (auto at = m_hand_overs.begin(); at != m_hand_overs.end();) {
        bool const is_unaccepted = at->second.transfer.to_generation == 0;
        if (is_unaccepted && at->second.offers >= max_offers) {
            m_unresponsive.insert(at->second.to);
            unaccepted.push_back(std::move(at->second));
            at = m_hand_overs.erase(at);
        } else {
            ++at;
        }
    }
    for (auto const& one : unaccepted) {
        split_by_successor(one);
    }
}

void witness::split_by_successor(witness_hand_over const& unaccepted)
{
    std::map<std::string, claim_view> next;
    std::map<std::string, witness_hand_over> parts;
    for (std::size_t index = 0; index < unaccepted.original_members.size();
         ++index) {
        auto const& vote = unaccepted.transfer.votes[index];
        auto const& original_member = unaccepted.original_members[index];
        if (next.count(original_member) == 0) {
            auto excluded = m_unresponsive;
            excluded.insert(original_member);
            next.emplace(original_member, m_view->without(excluded));
        }
        auto const name = m_view->successor(
            original_member, vote.bucket, next.at(original_member));
        auto& part = parts[name];
        part.original_members.push_back(original_member);
        part.transfer.votes.push_back(vote);
        for (auto const& claim : unaccepted.transfer.claims) {
            if (claim_bucket(claim.key, m_buckets.size()) == vote.bucket) {
                part.transfer.claims.push_back(claim);
            }
        }
    }
    // No successor is left for these votes.
    parts.erase("");
    for (auto& [name, part] : parts) {
        part.to = name;
        part.started = unaccepted.started;
        part.transfer.generation = m_settings.generation;
        part.transfer.number = ++m_offers;
        m_hand_overs.emplace(m_offers, std::move(part));
    }
}

} // namespace caperjunction::fleet
