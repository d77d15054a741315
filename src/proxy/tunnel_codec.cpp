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

std::string encode_tunnel_request(std::string_view id)
{
    flatbuffers::FlatBufferBuilder builder;
    auto const upstream = builder.CreateString(id.data(), id.size());
    builder.Finish(wire::CreateTunnelRequest(builder, upstream));
    return with_size(builder);
}

std::string encode_tunnel_reply(tunnel_status status)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::CreateTunnelReply(
        builder, static_cast<wire::TunnelStatus>(status)));
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

std::optional<std::string> decode_tunnel_request(std::string_view message)
{
    // Copied, because the fields of a message must be aligned.
    std::string const copy(message.substr(prefix_bytes));
    auto const* const request = verified<wire::TunnelRequest>(copy);
    if (request == nullptr || request->upstream() == nullptr) {
        return std::nullopt;
    }
    return request->upstream()->str();
}

std::optional<tunnel_status> decode_tunnel_reply(std::string_view message)
{
    std::string const copy(message.substr(prefix_bytes));
    auto const* const reply = verified<wire::TunnelReply>(copy);
    if (reply == nullptr || reply->status() > wire::TunnelStatus_MAX) {
        return std::nullopt;
    }
    return static_cast<tunnel_status>(reply->status());
}

} // namespace caperjunction::proxy
