#include "net/peer_codec.hpp"

#include "net/peer_read.hpp"
#include "net/peer_write.hpp"

namespace caperjunction::net {
namespace {

constexpr std::size_t first_buffer_bytes = 256;

peer_frame read_control(wire::Frame const& frame)
{
    switch (frame.body_type()) {
    case wire::Body::Challenge:
        return peer_challenge{read::bytes(frame.body_as_Challenge()->nonce())};
    case wire::Body::Hello: {
        auto const& table = *frame.body_as_Hello();
        return peer_hello{read::text(table.host()),
                          read::bytes(table.nonce()),
                          read::bytes(table.proof())};
    }
    case wire::Body::Welcome:
        return peer_welcome{read::bytes(frame.body_as_Welcome()->proof())};
    case wire::Body::Ping:
        return peer_ping{frame.body_as_Ping()->number()};
    case wire::Body::Pong:
        return peer_pong{frame.body_as_Pong()->number()};
    default:
        return read::message(frame);
    }
}

} // namespace

std::string encode(peer_frame const& frame)
{
    flatbuffers::FlatBufferBuilder builder(first_buffer_bytes);
    peer_writer writer(builder);
    written_body const body = std::visit(writer, frame);
    builder.Finish(wire::CreateFrame(builder, body.type, body.offset));
    std::string bytes;
    bytes.reserve(frame_prefix_bytes + builder.GetSize());
    std::uint32_t const size = builder.GetSize();
    for (std::size_t index = 0; index < frame_prefix_bytes; ++index) {
        constexpr unsigned byte_bits = 8;
        bytes.push_back(static_cast<char>(size >> (byte_bits * index)));
    }
    bytes.append(reinterpret_cast<char const*>(builder.GetBufferPointer()),
                 size);
    return bytes;
}

// Any process that reaches the port can send arbitrary bytes. The verifier
// checks all offsets and lengths first; without it, a length that points
// outside of the frame reads out of bounds.
peer_frame decode(std::uint8_t const* bytes, std::size_t size)
{
    flatbuffers::Verifier verifier(bytes, size);
    if (!wire::VerifyFrameBuffer(verifier)) {
        read::fail("layout");
    }
    wire::Frame const& frame = *wire::GetFrame(bytes);
    if (frame.body() == nullptr) {
        read::fail("body");
    }
    return read_control(frame);
}

} // namespace caperjunction::net
