#include "net/peer_write.hpp"

#include <variant>

namespace caperjunction::net {
namespace {

wire::Key key_of(fleet::claim_key const& key)
{
    return {key.high, key.low};
}

template <typename Table>
written_body finish(wire::Body type, flatbuffers::Offset<Table> table)
{
    return {type, table.Union()};
}

} // namespace

flatbuffers::Offset<wire::Attempt>
peer_writer::attempt(fleet::claim_attempt const& value)
{
    auto const host = text(value.host);
    return wire::CreateAttempt(m_builder, host, value.generation, value.number);
}

written_body peer_writer::operator()(fleet::claim_message const& message)
{
    return std::visit(*this, message);
}

written_body peer_writer::operator()(fleet::claim_request const& message)
{
    auto const key = key_of(message.key);
    auto const requester = attempt(message.attempt);
    return finish(wire::Body::ClaimRequest,
                  wire::CreateClaimRequest(m_builder,
                                           &key,
                                           requester,
                                           message.fingerprint,
                                           message.list_revision));
}

written_body peer_writer::operator()(fleet::claim_reply const& message)
{
    auto const key = key_of(message.key);
    auto const requester = attempt(message.attempt);
    auto const holder = attempt(message.holder);
    return finish(
        wire::Body::ClaimReply,
        wire::CreateClaimReply(m_builder,
                               &key,
                               requester,
                               static_cast<std::uint8_t>(message.status),
                               message.vote,
                               message.voters,
                               static_cast<std::uint8_t>(message.refusal),
                               message.list_revision,
                               holder,
                               static_cast<std::uint8_t>(message.holder_state),
                               message.holder_fingerprint,
                               message.vote_origin));
}

written_body peer_writer::operator()(fleet::claim_release const& message)
{
    auto const key = key_of(message.key);
    auto const about = attempt(message.attempt);
    return finish(wire::Body::ClaimRelease,
                  wire::CreateClaimRelease(m_builder, &key, about));
}

written_body peer_writer::operator()(fleet::claim_done const& message)
{
    auto const key = key_of(message.key);
    auto const about = attempt(message.attempt);
    return finish(wire::Body::ClaimDone,
                  wire::CreateClaimDone(m_builder, &key, about));
}

written_body peer_writer::operator()(fleet::claim_query const& message)
{
    auto const key = key_of(message.key);
    auto const about = attempt(message.attempt);
    return finish(wire::Body::ClaimQuery,
                  wire::CreateClaimQuery(m_builder, &key, about));
}

written_body peer_writer::operator()(fleet::claim_offer const& message)
{
    return finish(
        wire::Body::ClaimOffer,
        wire::CreateClaimOffer(m_builder, message.generation, message.number));
}

written_body peer_writer::operator()(fleet::claim_accept const& message)
{
    return finish(wire::Body::ClaimAccept,
                  wire::CreateClaimAccept(m_builder,
                                          message.generation,
                                          message.offer_generation,
                                          message.number));
}

written_body peer_writer::operator()(fleet::claim_transfer const& message)
{
    std::vector<wire::Vote> votes;
    for (fleet::claim_vote const& vote : message.votes) {
        votes.emplace_back(vote.bucket, vote.voters, vote.origin);
    }
    std::vector<flatbuffers::Offset<wire::ClaimRecord>> claims;
    for (fleet::claim_record const& claim : message.claims) {
        auto const key = key_of(claim.key);
        auto const holder = attempt(claim.attempt);
        claims.push_back(wire::CreateClaimRecord(
            m_builder,
            &key,
            holder,
            claim.fingerprint,
            static_cast<std::uint8_t>(claim.state),
            static_cast<std::uint64_t>(claim.remaining.count())));
    }
    auto const vote_list = m_builder.CreateVectorOfStructs(votes);
    auto const claim_list = m_builder.CreateVector(claims);
    return finish(wire::Body::ClaimTransfer,
                  wire::CreateClaimTransfer(m_builder,
                                            message.generation,
                                            message.number,
                                            message.to_generation,
                                            vote_list,
                                            claim_list));
}

written_body peer_writer::operator()(fleet::claim_transfer_ack const& message)
{
    return finish(wire::Body::ClaimTransferAck,
                  wire::CreateClaimTransferAck(
                      m_builder, message.offer_generation, message.number));
}

written_body peer_writer::operator()(fleet::answer_query const& message)
{
    auto const key = key_of(message.key);
    auto const first = attempt(message.attempt);
    return finish(
        wire::Body::AnswerQuery,
        wire::CreateAnswerQuery(m_builder, &key, first, message.ticket));
}

written_body peer_writer::operator()(fleet::answer_reply const& message)
{
    auto const key = key_of(message.key);
    auto const type = text(message.content_type);
    auto const body = bytes(message.body);
    return finish(wire::Body::AnswerReply,
                  wire::CreateAnswerReply(m_builder,
                                          &key,
                                          message.ticket,
                                          message.found,
                                          message.status,
                                          type,
                                          body));
}

} // namespace caperjunction::net
