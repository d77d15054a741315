#include "routing/crash_suspects.hpp"

#include <algorithm>

namespace caperjunction::routing {

void crash_suspects::record_crash(std::uint64_t fingerprint,
                                  model::time_point now)
{
    if (m_records.size() >= max_tracked) {
        std::erase_if(m_records, [now](auto const& item) {
            return now - item.second.last > retention
                   || item.second.crashes == 1;
        });
    }
    record& known = m_records[fingerprint];
    known.crashes = now - known.last > retention ? 1 : known.crashes + 1;
    known.last = now;
}

std::uint32_t crash_suspects::crashes_of(std::uint64_t fingerprint,
                                         model::time_point now) const
{
    auto const found = m_records.find(fingerprint);
    return found == m_records.end() || now - found->second.last > retention
               ? 0
               : found->second.crashes;
}

std::vector<crash_suspect>
crash_suspects::suspects_to_send(std::size_t max_count,
                                 model::time_point now) const
{
    std::vector<crash_suspect> list;
    for (auto const& [fingerprint, known] : m_records) {
        if (now - known.last <= retention) {
            list.push_back({fingerprint, known.crashes});
        }
    }
    std::sort(list.begin(), list.end(), [](auto const& a, auto const& b) {
        return a.crashes != b.crashes ? a.crashes > b.crashes
                                      : a.fingerprint < b.fingerprint;
    });
    list.resize(std::min(list.size(), max_count));
    return list;
}

} // namespace caperjunction::routing
