#include "program/configuration_history.hpp"

#include "proxy/text_packer.hpp"

#include <utility>

namespace caperjunction::program {
namespace {

/// Hosts usually lag behind by one or two changes.
constexpr std::size_t max_older = 3;
/// Far above the store's limit for one value.
constexpr std::size_t max_text_bytes = 16'000'000;

} // namespace

void configuration_history::add(proxy::store_item const& item,
                                std::uint64_t version)
{
    if (m_version != 0) {
        m_older[m_version] = std::move(m_newest.value);
    }
    if (m_older.size() > max_older) {
        m_older.erase(m_older.begin());
    }
    m_newest = item;
    m_version = version;
    m_packed.clear();
}

std::string const& configuration_history::text_of(std::uint64_t version) const
{
    static std::string const s_none;
    if (version != 0 && version == m_version) {
        return m_newest.value;
    }
    auto const found = m_older.find(version);
    return found == m_older.end() ? s_none : found->second;
}

proxy::packed_configuration configuration_history::pack(std::uint64_t base)
{
    proxy::packed_configuration packed_item;
    if (m_version == 0) {
        return packed_item;
    }
    std::string const& base_text = text_of(base);
    packed_item.key = m_newest.key;
    packed_item.revision = m_newest.revision;
    packed_item.era = m_newest.era;
    packed_item.version = m_version;
    packed_item.base_version = base_text.empty() ? 0 : base;
    auto const [known, is_new] = m_packed.try_emplace(packed_item.base_version);
    if (is_new) {
        known->second = proxy::pack_text(m_newest.value, base_text);
    }
    packed_item.packed = known->second;
    return packed_item;
}

std::optional<proxy::store_item> configuration_history::unpack(
    proxy::packed_configuration const& packed_item) const
{
    std::string const& base = text_of(packed_item.base_version);
    if (packed_item.base_version != 0 && base.empty()) {
        return std::nullopt;
    }
    auto text = proxy::unpack_text(packed_item.packed, base, max_text_bytes);
    if (!text) {
        return std::nullopt;
    }
    return proxy::store_item{packed_item.key,
                             std::move(*text),
                             packed_item.revision,
                             false,
                             packed_item.era};
}

} // namespace caperjunction::program
