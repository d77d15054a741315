#include "proxy/origin_codec.hpp"

#include "proxy/wire/origin_generated.h"
#include "proxy/wire_buffer.hpp"

namespace caperjunction::proxy {
namespace {

/// Hosts of earlier versions find no valid digest behind it.
constexpr std::string_view mark = "\xff\xff\xff\xff";

wire::Software to_wire(routing::software from)
{
    return {from.service, from.version};
}

routing::software from_wire(wire::Software const& from)
{
    return {from.service(), from.version()};
}

} // namespace

bool is_origin_message(std::string_view bytes)
{
    return bytes.substr(0, mark.size()) == mark;
}

std::string encode_origin_message(origin_message const& message)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<wire::Origin> begun;
    begun.reserve(message.begun.size());
    for (routing::stream_origin const& item : message.begun) {
        begun.emplace_back(item.stream, to_wire(item.began_at));
    }
    auto const list = begun.empty() ? 0 : builder.CreateVectorOfStructs(begun);
    wire::OriginMessageBuilder result(builder);
    result.add_begun(list);
    result.add_question(message.question);
    result.add_stream(message.asked.stream);
    result.add_service(message.asked.service);
    result.add_answer(message.answer);
    if (message.answer != 0) {
        wire::Software const began_at = to_wire(message.claim.began_at);
        result.add_knowledge(
            static_cast<wire::Knowledge>(message.claim.knowledge));
        result.add_began_at(&began_at);
    }
    builder.Finish(result.Finish());
    return std::string(mark) + text_of(builder);
}

std::optional<origin_message> decode_origin_message(std::string_view bytes)
{
    // Copied, because the fields of a message must be aligned.
    std::string const copy(bytes.substr(mark.size()));
    auto const* const from = verified<wire::OriginMessage>(copy);
    if (from == nullptr || from->knowledge() > wire::Knowledge_MAX) {
        return std::nullopt;
    }
    origin_message message;
    if (from->begun() != nullptr) {
        for (wire::Origin const* const item : *from->begun()) {
            message.begun.push_back(
                {item->stream(), from_wire(item->began_at())});
        }
    }
    message.question = from->question();
    message.asked = {from->stream(), from->service()};
    message.answer = from->answer();
    message.claim.knowledge =
        static_cast<routing::origin_knowledge>(from->knowledge());
    if (from->began_at() != nullptr) {
        message.claim.began_at = from_wire(*from->began_at());
    }
    return message;
}

} // namespace caperjunction::proxy
