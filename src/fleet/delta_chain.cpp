#include "fleet/delta_chain.hpp"

namespace caperjunction::fleet {
namespace {

// Bytes of a delta besides its text, in memory and on the wire.
constexpr std::size_t delta_overhead = 48;

std::size_t size_of(delta const& change)
{
    return delta_overhead + change.inserted.size();
}

} // namespace

void delta_chain::append(std::uint64_t base,
                         std::vector<delta> const& deltas,
                         std::size_t memory)
{
    std::uint64_t const end =
        m_deltas.empty() ? m_base : m_deltas.back().revision;
    if (end != base) {
        clear();
        m_base = base;
    }
    for (delta const& change : deltas) {
        m_bytes += size_of(change);
        m_deltas.push_back(change);
    }
    while (m_bytes > memory) {
        m_bytes -= size_of(m_deltas.front());
        m_base = m_deltas.front().revision;
        m_deltas.pop_front();
    }
}

void delta_chain::clear()
{
    m_deltas.clear();
    m_bytes = 0;
    m_base = 0;
}

std::optional<std::vector<delta>>
delta_chain::since(std::uint64_t held, std::size_t max_bytes) const
{
    if (held == 0) {
        return std::nullopt;
    }
    bool known = held == m_base;
    std::size_t bytes = 0;
    std::vector<delta> found;
    for (delta const& change : m_deltas) {
        if (known) {
            bytes += size_of(change);
            found.push_back(change);
        }
        known = known || change.revision == held;
    }
    if (found.empty() || bytes > max_bytes) {
        return std::nullopt;
    }
    return found;
}

} // namespace caperjunction::fleet
