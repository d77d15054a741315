#ifndef CAPERJUNCTION_NET_PEER_WRITE_HPP
#define CAPERJUNCTION_NET_PEER_WRITE_HPP

#include "fleet/peer_message.hpp"
#include "net/peer_control.hpp"
#include "net/wire/peer_generated.h"

#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::net {

/// Finished table that can be the body of a frame.
struct written_body
{
    wire::Body type = wire::Body::NONE;
    flatbuffers::Offset<void> offset;
};

/// Serializes one message as a table. Private to the codec.
///
/// Thread safety: none; the builder belongs to one call.
class peer_writer
{
public:
    explicit peer_writer(flatbuffers::FlatBufferBuilder& builder)
        : m_builder(builder)
    {
    }

    // peer_write.cpp
    written_body operator()(peer_challenge const& message);
    written_body operator()(peer_hello const& message);
    written_body operator()(peer_welcome const& message);
    written_body operator()(peer_ping const& message);
    written_body operator()(peer_pong const& message);
    written_body operator()(fleet::peer_message const& message);
    written_body operator()(fleet::heartbeat const& message);
    written_body operator()(fleet::membership_updates const& message);
    written_body operator()(fleet::probe const& message);
    written_body operator()(fleet::probe_reply const& message);
    written_body operator()(fleet::config_announce const& message);
    written_body operator()(fleet::config_fetch const& message);
    written_body operator()(fleet::config_value const& message);
    written_body operator()(fleet::load_digest const& message);
    written_body operator()(fleet::hand_over_request const& message);
    written_body operator()(fleet::hand_over_chunk const& message);
    written_body operator()(fleet::hand_over_end const& message);
    written_body operator()(fleet::hand_over_cancel const& message);
    written_body operator()(fleet::order_request const& message);

    // peer_write_claims.cpp
    written_body operator()(fleet::claim_message const& message);
    written_body operator()(fleet::claim_request const& message);
    written_body operator()(fleet::claim_reply const& message);
    written_body operator()(fleet::claim_release const& message);
    written_body operator()(fleet::claim_done const& message);
    written_body operator()(fleet::claim_query const& message);
    written_body operator()(fleet::claim_offer const& message);
    written_body operator()(fleet::claim_accept const& message);
    written_body operator()(fleet::claim_transfer const& message);
    written_body operator()(fleet::claim_transfer_ack const& message);
    written_body operator()(fleet::answer_query const& message);
    written_body operator()(fleet::answer_reply const& message);

private:
    using text_offset = flatbuffers::Offset<flatbuffers::String>;
    using bytes_offset = flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>;
    template <typename Table>
    using tables_offset =
        flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<Table>>>;

    text_offset text(std::string_view value);
    bytes_offset bytes(std::string_view value);
    bytes_offset bytes(std::vector<std::uint8_t> const& value);
    tables_offset<wire::Rumour>
    membership_updates(std::vector<fleet::membership_update> const& values);
    tables_offset<wire::Field>
    fields(std::vector<fleet::header_field> const& values);
    flatbuffers::Offset<wire::Attempt>
    attempt(fleet::claim_attempt const& value);

    flatbuffers::FlatBufferBuilder& m_builder;
};

} // namespace caperjunction::net

#endif
