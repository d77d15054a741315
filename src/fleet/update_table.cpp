#include "fleet/update_table.hpp"

#include "fleet/hashing.hpp"

#include <tuple>

namespace caperjunction::fleet {
namespace {

std::uint64_t hash_of(membership_update const& update)
{
    constexpr std::uint64_t suspicion_count_shift = 8;
    std::uint64_t const position =
        (std::uint64_t{update.suspicion_count} << suspicion_count_shift)
        + static_cast<std::uint64_t>(update.kind);
    return hash_text(update.host, update.generation ^ (position << 1U));
}

} // namespace

bool update_table::is_superseded_by(membership_update const& left,
                                    membership_update const& right) const
{
    if (!m_check_generation) {
        return std::tie(left.suspicion_count, left.kind)
               < std::tie(right.suspicion_count, right.kind);
    }
    if (left.generation != right.generation) {
        return left.generation < right.generation;
    }
    bool const left_leaving = left.kind == update_kind::leaving;
    bool const right_leaving = right.kind == update_kind::leaving;
    if (left_leaving || right_leaving) {
        return !left_leaving;
    }
    return std::tie(left.suspicion_count, left.kind)
           < std::tie(right.suspicion_count, right.kind);
}

bool update_table::merge(membership_update const& update)
{
    auto const [position, added] = m_updates.try_emplace(update.host, update);
    if (!added && !is_superseded_by(position->second, update)) {
        return false;
    }
    if (!added) {
        m_hash ^= hash_of(position->second);
        position->second = update;
    }
    m_hash ^= hash_of(update);
    return true;
}

membership_update update_table::find(std::string const& host) const
{
    auto const position = m_updates.find(host);
    if (position == m_updates.end()) {
        membership_update empty;
        empty.host = host;
        return empty;
    }
    return position->second;
}

std::vector<membership_update> update_table::all() const
{
    std::vector<membership_update> updates;
    updates.reserve(m_updates.size());
    for (auto const& [name, update] : m_updates) {
        updates.push_back(update);
    }
    return updates;
}

void update_table::rehash()
{
    m_hash = 0;
    for (auto const& [name, update] : m_updates) {
        m_hash ^= hash_of(update);
    }
}

} // namespace caperjunction::fleet
