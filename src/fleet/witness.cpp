#include "fleet/witness.hpp"

#include "fleet/claim_fingerprint.hpp"

#include <xxhash.h>

#include <algorithm>

namespace caperjunction::fleet {

witness::witness(witness_settings settings)
    : m_settings(std::move(settings))
    , m_pause_detector(m_settings.claims.pause_limit)
    , m_buckets(m_settings.claims.buckets)
{
}

void witness::handle(witness_event const& event,
                     model::time_point now,
                     std::vector<claim_send>& out)
{
    // After a pause the list may be long outdated, and the votes of this
    // process may have been replaced. Granting them would run one key twice.
    if (m_pause_detector.record_wakeup(now)) {
        m_last_pause_end = now;
    }
    m_claim_table.expire(now);
    expire_votes(now);
    std::visit(
        [&](auto const& alternative) {
            on_event(alternative, now, out);
        },
        event);
}

void witness::on_event(claim_view_listed const& event,
                       model::time_point now,
                       messages& out)
{
    adopt_view(event.view, now, out);
}

void witness::on_event(claim_view_confirmed const& event,
                       model::time_point now,
                       messages& /*out*/)
{
    m_confirmed = std::max(m_confirmed, std::min(event.as_of, now));
    if (event.as_of >= m_last_pause_end) {
        m_pause_detector.mark_refreshed();
    }
}

void witness::on_event(claim_received const& event,
                       model::time_point now,
                       messages& out)
{
    if (auto const* request = std::get_if<claim_request>(&event.message)) {
        on_message(event.from, *request, now, out);
    } else if (auto const* release =
                   std::get_if<claim_release>(&event.message)) {
        m_claim_table.erase(release->key, release->attempt);
    } else if (auto const* done = std::get_if<claim_done>(&event.message)) {
        m_claim_table.finish(done->key, done->attempt);
    } else if (auto const* offer = std::get_if<claim_offer>(&event.message)) {
        on_message(event.from, *offer, now, out);
    } else if (auto const* accept = std::get_if<claim_accept>(&event.message)) {
        on_message(event.from, *accept, now, out);
    } else if (auto const* transfer =
                   std::get_if<claim_transfer>(&event.message)) {
        on_message(event.from, *transfer, now, out);
    } else if (auto const* ack =
                   std::get_if<claim_transfer_ack>(&event.message)) {
        if (ack->offer_generation == m_settings.generation) {
            m_hand_overs.erase(ack->number);
        }
    }
}

void witness::on_event(claim_tick const& /*event*/,
                       model::time_point now,
                       messages& out)
{
    advance_hand_overs(now, out);
    auto const lease = m_settings.claims.transfer_lease;
    for (auto incoming = m_incoming.begin(); incoming != m_incoming.end();) {
        std::erase_if(incoming->second.open, [&](auto const& entry) {
            return now - entry.second.accepted > lease;
        });
        bool const is_old =
            now - incoming->second.last_used > m_settings.claims.maturity;
        incoming = is_old ? m_incoming.erase(incoming) : std::next(incoming);
    }
}

void witness::on_message(std::string const& from,
                         claim_request const& request,
                         model::time_point now,
                         messages& out)
{
    if (from != request.attempt.host) {
        return;
    }
    claim_reply reply = evaluate(request, now);
    reply.key = request.key;
    reply.attempt = request.attempt;
    reply.list_revision = m_view == nullptr ? 0 : m_view->revision();
    out.push_back({from, reply});
}

claim_refusal witness::refusal(claim_request const& request,
                               model::time_point now) const
{
    if (m_leaving) {
        return claim_refusal::leaving;
    }
    if (m_view == nullptr || view_expired(now)
        || !m_pause_detector.is_current()) {
        return claim_refusal::view_outdated;
    }
    auto const bucket = claim_bucket(request.key, m_buckets.size());
    bool const older = request.list_revision < m_view->revision();
    if (older && !m_buckets[bucket].member) {
        return claim_refusal::not_a_witness;
    }
    return claim_refusal::none;
}

claim_reply witness::evaluate(claim_request const& request,
                              model::time_point now)
{
    claim_reply reply;
    reply.refusal = refusal(request, now);
    if (reply.refusal != claim_refusal::none) {
        return reply;
    }
    auto const* held = m_claim_table.find(request.key);
    // A newer attempt of the same process: it has given the older one up before
    // dispatch, and the release is late or lost.
    bool const superseded =
        held != nullptr && held->state == claim_state::running
        && held->attempt.host == request.attempt.host
        && held->attempt.generation == request.attempt.generation
        && held->attempt.number < request.attempt.number;
    bool const other = held != nullptr && held->attempt != request.attempt;
    if (other && !superseded) {
        reply.status = claim_status::held;
        reply.holder = held->attempt;
        reply.holder_state = held->state;
        reply.holder_fingerprint = held->fingerprint;
        return reply;
    }
    // A full table refuses the claim: evicting another one early would allow a
    // second run.
    if (held == nullptr
        && m_claim_table.size() >= m_settings.claims.max_claims) {
        reply.refusal = claim_refusal::full;
        return reply;
    }
    if (held == nullptr || superseded) {
        m_claim_table.put(request.key,
                          {request.attempt,
                           request.fingerprint,
                           claim_state::running,
                           now + m_settings.claims.retention});
    }
    auto const bucket = claim_bucket(request.key, m_buckets.size());
    grant_matured_vote(bucket, now);
    reply.status = claim_status::granted;
    reply.vote = m_buckets[bucket].vote;
    reply.vote_origin = reply.vote ? m_buckets[bucket].origin : 0;
    reply.voters = m_buckets[bucket].voters;
    return reply;
}

std::uint64_t witness::origin() const
{
    auto const& host = m_settings.host;
    return XXH3_64bits_withSeed(
        host.data(), host.size(), m_settings.generation);
}

bool witness::view_expired(model::time_point now) const
{
    return now - m_confirmed > m_settings.claims.view_lease;
}

// A host whose list is unconfirmed for that long may have been removed from it.
// Other hosts recreate its votes after `maturity`, so it must hold none by
// then.
void witness::expire_votes(model::time_point now)
{
    if (m_view == nullptr || !view_expired(now)) {
        return;
    }
    m_hand_overs.clear();
    for (auto& bucket : m_buckets) {
        bucket.vote = false;
        bucket.entered = now;
    }
}

void witness::grant_matured_vote(std::size_t bucket, model::time_point now)
{
    auto& state = m_buckets[bucket];
    bool const is_old = now - state.entered >= m_settings.claims.maturity;
    if (state.member && !state.vote && is_old
        && m_pause_detector.is_current()) {
        state.vote = true;
        state.origin = origin();
    }
}

void witness::fingerprint(model::time_point now, std::string& out) const
{
    append(out, m_settings.generation);
    append(out, m_view == nullptr ? 0 : m_view->revision());
    append_age(out, m_confirmed, now);
    append(out,
           (m_pause_detector.is_current() ? 2U : 0U) + (m_leaving ? 1U : 0U));
    for (auto const& bucket : m_buckets) {
        append(out, (bucket.member ? 2U : 0U) + (bucket.vote ? 1U : 0U));
        append(out, bucket.vote ? bucket.origin : 0U);
        append(out, bucket.voters);
        append(out, std::string_view(bucket.original_member));
        append_age(out, bucket.vote ? now : bucket.entered, now);
    }
    m_claim_table.fingerprint(now, out);
    append(out, m_offers);
    for (auto const& [number, hand_over] : m_hand_overs) {
        append(out, number);
        append(out, std::string_view(hand_over.to));
        append(out, hand_over.transfer.to_generation);
        append(out, hand_over.transfer.claims.size());
        append(out, hand_over.offers);
        append_age(out, hand_over.started, now);
    }
    for (auto const& [from, incoming] : m_incoming) {
        append(out, std::string_view(from.first));
        append(out, from.second);
        append(out, incoming.highest);
        for (auto const& [number, offer] : incoming.open) {
            append(out, number * 2 + (offer.imported ? 1 : 0));
            append_age(out, offer.accepted, now);
        }
    }
}

} // namespace caperjunction::fleet
