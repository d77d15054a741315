#include "fleet/splice_chain.hpp"

namespace caperjunction::fleet {
namespace {

// What a splice costs besides its text, here and on the wire.
constexpr std::size_t splice_overhead = 48;

std::size_t size_of(splice const& change)
{
    return splice_overhead + change.inserted.size();
}

} // namespace

void splice_chain::append(std::uint64_t base,
                          std::vector<splice> const& splices,
                          std::size_t memory)
{
    std::uint64_t const end =
        m_splices.empty() ? m_base : m_splices.back().revision;
    if (end != base) {
        clear();
        m_base = base;
    }
    for (splice const& change : splices) {
        m_bytes += size_of(change);
        m_splices.push_back(change);
    }
    while (m_bytes > memory) {
        m_bytes -= size_of(m_splices.front());
        m_base = m_splices.front().revision;
        m_splices.pop_front();
    }
}

void splice_chain::clear()
{
    m_splices.clear();
    m_bytes = 0;
    m_base = 0;
}

std::optional<std::vector<splice>>
splice_chain::since(std::uint64_t held, std::size_t most_bytes) const
{
    if (held == 0) {
        return std::nullopt;
    }
    bool known = held == m_base;
    std::size_t bytes = 0;
    std::vector<splice> found;
    for (splice const& change : m_splices) {
        if (known) {
            bytes += size_of(change);
            found.push_back(change);
        }
        known = known || change.revision == held;
    }
    if (found.empty() || bytes > most_bytes) {
        return std::nullopt;
    }
    return found;
}

} // namespace caperjunction::fleet
