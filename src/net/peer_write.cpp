#include "net/peer_write.hpp"

#include <variant>

namespace caperjunction::net {
namespace {

wire::Revisions revisions(fleet::value_revisions const& values)
{
    using fleet::published_value;
    return {values[published_value::plans],
            values[published_value::entitlements],
            values[published_value::hosts],
            values[published_value::upstreams]};
}

/// Revisions of an announcement. Usually the latest revisions are in force;
/// then they are sent only once, which makes each heartbeat a quarter smaller.
struct announced_revisions
{
    explicit announced_revisions(fleet::config_announce const& revisions_sent)
        : latest(revisions(revisions_sent.latest))
        , in_force(revisions(revisions_sent.in_force))
        , equal(revisions_sent.latest == revisions_sent.in_force)
    {
    }

    wire::Revisions const* in_force_or_null() const
    {
        return equal ? nullptr : &in_force;
    }

    wire::Revisions latest;
    wire::Revisions in_force;
    bool equal;
};

template <typename Table>
written_body finish(wire::Body type, flatbuffers::Offset<Table> table)
{
    return {type, table.Union()};
}

} // namespace

peer_writer::text_offset peer_writer::text(std::string_view value)
{
    return m_builder.CreateString(value.data(), value.size());
}

peer_writer::bytes_offset peer_writer::bytes(std::string_view value)
{
    auto const* const first =
        reinterpret_cast<std::uint8_t const*>(value.data());
    return m_builder.CreateVector(first, value.size());
}

peer_writer::bytes_offset
peer_writer::bytes(std::vector<std::uint8_t> const& value)
{
    return m_builder.CreateVector(value.data(), value.size());
}

peer_writer::tables_offset<wire::Rumour> peer_writer::membership_updates(
    std::vector<fleet::membership_update> const& values)
{
    std::vector<flatbuffers::Offset<wire::Rumour>> tables;
    tables.reserve(values.size());
    for (fleet::membership_update const& value : values) {
        tables.push_back(
            wire::CreateRumour(m_builder,
                               text(value.host),
                               value.generation,
                               value.suspicion_count,
                               static_cast<std::uint8_t>(value.kind)));
    }
    return m_builder.CreateVector(tables);
}

peer_writer::tables_offset<wire::Field>
peer_writer::fields(std::vector<fleet::header_field> const& values)
{
    std::vector<flatbuffers::Offset<wire::Field>> tables;
    tables.reserve(values.size());
    for (fleet::header_field const& value : values) {
        auto const name = text(value.name);
        tables.push_back(wire::CreateField(m_builder, name, text(value.value)));
    }
    return m_builder.CreateVector(tables);
}

written_body peer_writer::operator()(fleet::peer_message const& message)
{
    return std::visit(*this, message);
}

written_body peer_writer::operator()(peer_challenge const& message)
{
    auto const nonce = bytes(message.nonce);
    return finish(wire::Body::Challenge,
                  wire::CreateChallenge(m_builder, nonce));
}

written_body peer_writer::operator()(peer_hello const& message)
{
    auto const host = text(message.host);
    auto const nonce = bytes(message.nonce);
    auto const proof = bytes(message.proof);
    return finish(wire::Body::Hello,
                  wire::CreateHello(m_builder, host, nonce, proof));
}

written_body peer_writer::operator()(peer_welcome const& message)
{
    auto const proof = bytes(message.proof);
    return finish(wire::Body::Welcome, wire::CreateWelcome(m_builder, proof));
}

written_body peer_writer::operator()(peer_ping const& message)
{
    return finish(wire::Body::Ping,
                  wire::CreatePing(m_builder, message.number));
}

written_body peer_writer::operator()(peer_pong const& message)
{
    return finish(wire::Body::Pong,
                  wire::CreatePong(m_builder, message.number));
}

written_body peer_writer::operator()(fleet::heartbeat const& message)
{
    announced_revisions const revisions_sent(message.configuration);
    return finish(wire::Body::Heartbeat,
                  wire::CreateHeartbeat(m_builder,
                                        message.generation,
                                        message.leaving,
                                        message.expects_reply,
                                        message.updates_hash,
                                        &revisions_sent.latest,
                                        revisions_sent.in_force_or_null()));
}

written_body peer_writer::operator()(fleet::membership_updates const& message)
{
    auto const tables = membership_updates(message.updates);
    return finish(wire::Body::Rumours, wire::CreateRumours(m_builder, tables));
}

written_body peer_writer::operator()(fleet::probe const& message)
{
    return finish(wire::Body::Probe,
                  wire::CreateProbe(m_builder, message.number));
}

written_body peer_writer::operator()(fleet::probe_reply const& message)
{
    announced_revisions const revisions_sent(message.configuration);
    auto const tables = membership_updates(message.updates);
    return finish(wire::Body::ProbeReply,
                  wire::CreateProbeReply(m_builder,
                                         message.number,
                                         message.generation,
                                         message.leaving,
                                         &revisions_sent.latest,
                                         revisions_sent.in_force_or_null(),
                                         tables));
}

written_body peer_writer::operator()(fleet::config_announce const& message)
{
    announced_revisions const revisions_sent(message);
    return finish(wire::Body::Announce,
                  wire::CreateAnnounce(m_builder,
                                       &revisions_sent.latest,
                                       revisions_sent.in_force_or_null()));
}

written_body peer_writer::operator()(fleet::config_fetch const& message)
{
    auto const value = static_cast<std::uint8_t>(message.value);
    return finish(
        wire::Body::Fetch,
        wire::CreateFetch(m_builder, value, message.wanted, message.held));
}

written_body peer_writer::operator()(fleet::config_value const& message)
{
    std::vector<flatbuffers::Offset<wire::Splice>> tables;
    tables.reserve(message.deltas.size());
    for (fleet::delta const& change : message.deltas) {
        auto const inserted = text(change.inserted);
        tables.push_back(wire::CreateSplice(m_builder,
                                            change.revision,
                                            change.offset,
                                            change.removed,
                                            inserted));
    }
    auto const deltas = m_builder.CreateVector(tables);
    // A missing body differs from an empty one.
    auto const body =
        message.body != nullptr ? text(*message.body) : text_offset();
    return finish(wire::Body::Value,
                  wire::CreateValue(m_builder,
                                    static_cast<std::uint8_t>(message.value),
                                    message.revision,
                                    message.hash,
                                    message.base,
                                    body,
                                    deltas));
}

written_body peer_writer::operator()(fleet::load_digest const& message)
{
    auto const host = text(message.host);
    auto const load = bytes(message.bytes);
    return finish(
        wire::Body::Digest,
        wire::CreateDigest(
            m_builder, host, message.sequence, message.hops_left, load));
}

written_body peer_writer::operator()(fleet::hand_over_request const& message)
{
    auto const method = text(message.method);
    auto const path = text(message.path);
    auto const headers = fields(message.headers);
    auto const body = bytes(message.body);
    auto const waited = static_cast<std::uint64_t>(message.waited.count());
    return finish(
        wire::Body::HandoverRequest,
        wire::CreateHandoverRequest(
            m_builder, message.id.value, method, path, headers, body, waited));
}

written_body peer_writer::operator()(fleet::hand_over_chunk const& message)
{
    auto const headers = fields(message.headers);
    auto const part = bytes(message.bytes);
    return finish(
        wire::Body::HandoverChunk,
        wire::CreateHandoverChunk(
            m_builder, message.id.value, message.status, headers, part));
}

written_body peer_writer::operator()(fleet::hand_over_end const& message)
{
    auto const reason = text(message.reason);
    return finish(
        wire::Body::HandoverEnd,
        wire::CreateHandoverEnd(m_builder,
                                message.id.value,
                                static_cast<std::uint8_t>(message.result),
                                static_cast<std::uint8_t>(message.outcome),
                                reason));
}

written_body peer_writer::operator()(fleet::order_request const& message)
{
    auto const engine = text(message.engine);
    auto const model = text(message.model);
    return finish(wire::Body::OrderWish,
                  wire::CreateOrderWish(m_builder, engine, model));
}

written_body peer_writer::operator()(fleet::hand_over_cancel const& message)
{
    return finish(wire::Body::HandoverCancel,
                  wire::CreateHandoverCancel(m_builder, message.id.value));
}

} // namespace caperjunction::net
