#include "net/peer_read.hpp"

namespace caperjunction::net::read {
namespace {

fleet::claim_key key_of(wire::Key const* key)
{
    if (key == nullptr) {
        fail("claim without a key");
    }
    return {key->high(), key->low()};
}

fleet::claim_attempt attempt(wire::Attempt const* table)
{
    if (table == nullptr) {
        return {};
    }
    return {text(table->host()), table->generation(), table->number()};
}

fleet::claim_state state_of(std::uint8_t number)
{
    return enumerator(number, fleet::claim_state::done, "state of a claim");
}

fleet::claim_message read_table(wire::ClaimRequest const& table)
{
    return fleet::claim_request{key_of(table.key()),
                                attempt(table.attempt()),
                                table.fingerprint(),
                                table.list_revision()};
}

fleet::claim_message read_table(wire::ClaimReply const& table)
{
    fleet::claim_reply value;
    value.key = key_of(table.key());
    value.attempt = attempt(table.attempt());
    value.status = enumerator(
        table.status(), fleet::claim_status::refused, "status of a claim");
    value.vote = table.vote();
    value.vote_origin = table.vote_origin();
    value.voters = table.voters();
    value.refusal = enumerator(
        table.refusal(), fleet::claim_refusal::full, "refusal of a claim");
    value.list_revision = table.list_revision();
    value.holder = attempt(table.holder());
    value.holder_state = state_of(table.holder_state());
    value.holder_fingerprint = table.holder_fingerprint();
    return value;
}

fleet::claim_record read_table(wire::ClaimRecord const& table)
{
    fleet::claim_record value;
    value.key = key_of(table.key());
    value.attempt = attempt(table.attempt());
    value.fingerprint = table.fingerprint();
    value.state = state_of(table.state());
    value.remaining =
        model::milliseconds(static_cast<std::int64_t>(table.remaining_ms()));
    return value;
}

fleet::claim_message read_table(wire::ClaimTransfer const& table)
{
    fleet::claim_transfer value;
    value.generation = table.generation();
    value.number = table.number();
    value.to_generation = table.to_generation();
    if (table.votes() != nullptr) {
        for (wire::Vote const* const vote : *table.votes()) {
            value.votes.push_back(
                {vote->bucket(), vote->voters(), vote->origin()});
        }
    }
    if (table.claims() != nullptr) {
        for (wire::ClaimRecord const* const claim : *table.claims()) {
            value.claims.push_back(read_table(*claim));
        }
    }
    return value;
}

fleet::claim_message read_table(wire::AnswerReply const& table)
{
    return fleet::answer_reply{key_of(table.key()),
                               table.ticket(),
                               table.found(),
                               table.status(),
                               text(table.content_type()),
                               text(table.body())};
}

fleet::claim_message take_vote_message(wire::Frame const& frame)
{
    switch (frame.body_type()) {
    case wire::Body::ClaimOffer: {
        auto const& table = *frame.body_as_ClaimOffer();
        return fleet::claim_offer{table.generation(), table.number()};
    }
    case wire::Body::ClaimAccept: {
        auto const& table = *frame.body_as_ClaimAccept();
        return fleet::claim_accept{
            table.generation(), table.offer_generation(), table.number()};
    }
    case wire::Body::ClaimTransfer:
        return read_table(*frame.body_as_ClaimTransfer());
    case wire::Body::ClaimTransferAck: {
        auto const& table = *frame.body_as_ClaimTransferAck();
        return fleet::claim_transfer_ack{table.offer_generation(),
                                         table.number()};
    }
    default:
        fail("type of message");
    }
}

} // namespace

fleet::claim_message claim_message(wire::Frame const& frame)
{
    switch (frame.body_type()) {
    case wire::Body::ClaimRequest:
        return read_table(*frame.body_as_ClaimRequest());
    case wire::Body::ClaimReply:
        return read_table(*frame.body_as_ClaimReply());
    case wire::Body::ClaimRelease: {
        auto const& table = *frame.body_as_ClaimRelease();
        return fleet::claim_release{key_of(table.key()),
                                    attempt(table.attempt())};
    }
    case wire::Body::ClaimDone: {
        auto const& table = *frame.body_as_ClaimDone();
        return fleet::claim_done{key_of(table.key()), attempt(table.attempt())};
    }
    case wire::Body::ClaimQuery: {
        auto const& table = *frame.body_as_ClaimQuery();
        return fleet::claim_query{key_of(table.key()),
                                  attempt(table.attempt())};
    }
    case wire::Body::AnswerQuery: {
        auto const& table = *frame.body_as_AnswerQuery();
        return fleet::answer_query{
            key_of(table.key()), attempt(table.attempt()), table.ticket()};
    }
    case wire::Body::AnswerReply:
        return read_table(*frame.body_as_AnswerReply());
    default:
        return take_vote_message(frame);
    }
}

} // namespace caperjunction::net::read
