#include "proxy/list_codec.hpp"

#include "proxy/wire/digest_generated.h"
#include "proxy/wire_buffer.hpp"

namespace caperjunction::proxy {
namespace {

using byte_list = flatbuffers::Vector<std::uint8_t>;

flatbuffers::Offset<byte_list> to_bytes(flatbuffers::FlatBufferBuilder& builder,
                                        std::string const& text)
{
    return builder.CreateVector(
        reinterpret_cast<std::uint8_t const*>(text.data()), text.size());
}

std::string text_of(byte_list const& bytes)
{
    return {reinterpret_cast<char const*>(bytes.data()), bytes.size()};
}

} // namespace

std::string encode_configuration(packed_configuration const& from)
{
    flatbuffers::FlatBufferBuilder builder;
    auto const key = builder.CreateString(from.key);
    auto const text = to_bytes(builder, from.packed);
    // Hosts of earlier versions name a base by its revision and get none.
    constexpr std::uint64_t no_base = 0;
    builder.Finish(wire::CreateConfiguration(builder,
                                             key,
                                             text,
                                             from.revision,
                                             from.checked.revision,
                                             no_base,
                                             from.version,
                                             from.base_version,
                                             from.era,
                                             from.checked.era));
    return text_of(builder);
}

std::optional<packed_configuration> decode_configuration(std::string_view bytes)
{
    auto const* const from = verified<wire::Configuration>(bytes);
    if (from == nullptr || from->key() == nullptr || from->text() == nullptr) {
        return std::nullopt;
    }
    packed_configuration result;
    result.key = from->key()->str();
    result.revision = from->revision();
    result.era = from->era();
    result.checked = {from->checked(), from->checked_era()};
    result.version = from->version();
    result.base_version = from->base_version();
    result.packed = text_of(*from->text());
    return result;
}

std::string encode_items(item_list const& list)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::Item>> items;
    for (store_item const& item : list.items) {
        auto const key = builder.CreateString(item.key);
        auto const value = to_bytes(builder, item.value);
        items.push_back(wire::CreateItem(
            builder, key, value, item.revision, item.removed, item.era));
    }
    builder.Finish(wire::CreateItems(builder,
                                     builder.CreateVector(items),
                                     list.revision.revision,
                                     list.since.revision,
                                     list.removals_known_since.revision,
                                     list.revision.era,
                                     list.since.era,
                                     list.removals_known_since.era));
    return text_of(builder);
}

std::optional<item_list> decode_items(std::string_view bytes)
{
    auto const* const from = verified<wire::Items>(bytes);
    if (from == nullptr || from->items() == nullptr) {
        return std::nullopt;
    }
    item_list list;
    list.revision = {from->revision(), from->era()};
    list.since = {from->since(), from->since_era()};
    list.removals_known_since = {from->removals_known_since(),
                                 from->removals_known_since_era()};
    for (wire::Item const* const item : *from->items()) {
        if (item->key() == nullptr || item->value() == nullptr) {
            return std::nullopt;
        }
        store_item result;
        result.key = item->key()->str();
        result.value = text_of(*item->value());
        result.revision = item->revision();
        result.removed = item->removed();
        result.era = item->era();
        list.items.push_back(std::move(result));
    }
    return list;
}

} // namespace caperjunction::proxy
