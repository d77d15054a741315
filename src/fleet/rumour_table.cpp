#include "fleet/rumour_table.hpp"

#include "fleet/hashing.hpp"

#include <tuple>

namespace caperjunction::fleet {
namespace {

std::uint64_t hash_of(host_rumour const& rumour)
{
    constexpr std::uint64_t round_shift = 8;
    std::uint64_t const place = (std::uint64_t{rumour.round} << round_shift)
                                + static_cast<std::uint64_t>(rumour.kind);
    return hash_text(rumour.host, rumour.generation ^ (place << 1U));
}

} // namespace

bool rumour_table::is_below(host_rumour const& left,
                            host_rumour const& right) const
{
    if (!m_check_generation) {
        return std::tie(left.round, left.kind)
               < std::tie(right.round, right.kind);
    }
    if (left.generation != right.generation) {
        return left.generation < right.generation;
    }
    bool const left_leaving = left.kind == rumour_kind::leaving;
    bool const right_leaving = right.kind == rumour_kind::leaving;
    if (left_leaving || right_leaving) {
        return !left_leaving;
    }
    return std::tie(left.round, left.kind) < std::tie(right.round, right.kind);
}

bool rumour_table::raise(host_rumour const& rumour)
{
    auto const [place, added] = m_rumours.try_emplace(rumour.host, rumour);
    if (!added && !is_below(place->second, rumour)) {
        return false;
    }
    if (!added) {
        m_hash ^= hash_of(place->second);
        place->second = rumour;
    }
    m_hash ^= hash_of(rumour);
    return true;
}

host_rumour rumour_table::find(std::string const& host) const
{
    auto const place = m_rumours.find(host);
    if (place == m_rumours.end()) {
        host_rumour nothing;
        nothing.host = host;
        return nothing;
    }
    return place->second;
}

std::vector<host_rumour> rumour_table::all() const
{
    std::vector<host_rumour> rumours;
    rumours.reserve(m_rumours.size());
    for (auto const& [name, rumour] : m_rumours) {
        rumours.push_back(rumour);
    }
    return rumours;
}

void rumour_table::rehash()
{
    m_hash = 0;
    for (auto const& [name, rumour] : m_rumours) {
        m_hash ^= hash_of(rumour);
    }
}

} // namespace caperjunction::fleet
