#include "program/configuration_texts.hpp"

#include "proxy/text_packer.hpp"

#include <utility>

namespace caperjunction::program {
namespace {

/// Hosts lag behind by one change or two.
constexpr std::size_t most_older = 3;
/// Far beyond what the store takes as one value.
constexpr std::size_t largest_text = 16'000'000;

} // namespace

void configuration_texts::add(proxy::store_item const& item)
{
    if (m_newest.revision != 0) {
        m_older[m_newest.revision] = std::move(m_newest.value);
    }
    if (m_older.size() > most_older) {
        m_older.erase(m_older.begin());
    }
    m_newest = item;
    m_packed.clear();
}

std::string const& configuration_texts::text_of(std::uint64_t revision) const
{
    static std::string const s_none;
    if (revision != 0 && revision == m_newest.revision) {
        return m_newest.value;
    }
    auto const found = m_older.find(revision);
    return found == m_older.end() ? s_none : found->second;
}

proxy::packed_configuration configuration_texts::packed(std::uint64_t base)
{
    proxy::packed_configuration told;
    if (m_newest.revision == 0) {
        return told;
    }
    std::string const& base_text = text_of(base);
    told.key = m_newest.key;
    told.revision = m_newest.revision;
    told.base = base_text.empty() ? 0 : base;
    auto const [known, is_new] = m_packed.try_emplace(told.base);
    if (is_new) {
        known->second = proxy::pack_text(m_newest.value, base_text);
    }
    told.packed = known->second;
    return told;
}

std::optional<proxy::store_item>
configuration_texts::unpack(proxy::packed_configuration const& told) const
{
    std::string const& base = text_of(told.base);
    if (told.base != 0 && base.empty()) {
        return std::nullopt;
    }
    auto text = proxy::unpack_text(told.packed, base, largest_text);
    if (!text) {
        return std::nullopt;
    }
    return proxy::store_item{told.key, std::move(*text), told.revision, false};
}

} // namespace caperjunction::program
