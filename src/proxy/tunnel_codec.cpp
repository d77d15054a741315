#include "proxy/tunnel_codec.hpp"

#include "proxy/wire/tunnel_generated.h"
#include "proxy/wire_buffer.hpp"

namespace caperjunction::proxy {
namespace {

constexpr std::size_t prefix_bytes = sizeof(flatbuffers::uoffset_t);

std::string with_size(flatbuffers::FlatBufferBuilder const& builder)
{
    std::string const message = text_of(builder);
    std::string framed(prefix_bytes, '\0');
    flatbuffers::WriteScalar(
        framed.data(), static_cast<flatbuffers::uoffset_t>(message.size()));
    return framed + message;
}

} // namespace

std::string encode_tunnel_request(tunnel_request const& request)
{
    flatbuffers::FlatBufferBuilder builder;
    auto const upstream = builder.CreateString(request.upstream);
    builder.Finish(wire::CreateTunnelRequest(
        builder, upstream, request.reads_frames, request.started));
    return with_size(builder);
}

std::string encode_tunnel_reply(tunnel_reply const& reply)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(
        wire::CreateTunnelReply(builder,
                                static_cast<wire::TunnelStatus>(reply.status),
                                reply.has_frames));
    return with_size(builder);
}

std::optional<std::size_t> tunnel_message_size(std::string_view bytes)
{
    if (bytes.size() < prefix_bytes) {
        return std::nullopt;
    }
    return prefix_bytes
           + flatbuffers::ReadScalar<flatbuffers::uoffset_t>(bytes.data());
}

std::optional<tunnel_request> decode_tunnel_request(std::string_view message)
{
    // Copied, because the fields of a message must be aligned.
    std::string const copy(message.substr(prefix_bytes));
    auto const* const request = verified<wire::TunnelRequest>(copy);
    if (request == nullptr || request->upstream() == nullptr) {
        return std::nullopt;
    }
    return tunnel_request{
        request->upstream()->str(), request->frames(), request->started()};
}

std::optional<tunnel_reply> decode_tunnel_reply(std::string_view message)
{
    std::string const copy(message.substr(prefix_bytes));
    auto const* const reply = verified<wire::TunnelReply>(copy);
    if (reply == nullptr || reply->status() > wire::TunnelStatus_MAX) {
        return std::nullopt;
    }
    return tunnel_reply{static_cast<tunnel_status>(reply->status()),
                        reply->frames()};
}

} // namespace caperjunction::proxy
