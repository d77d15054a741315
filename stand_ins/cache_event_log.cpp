#include "stand_ins/cache_event_log.hpp"

#include <fmt/format.h>

namespace caperjunction::stand_ins {
namespace {

constexpr std::size_t max_entries = 4096;

} // namespace

void cache_event_log::add(std::uint64_t block, bool stored, time_point now)
{
    ++m_sequence;
    if (m_gap != 0 && m_sequence % m_gap == 0) {
        return;
    }
    m_entries.push_back({m_sequence, block, stored, now});
    if (m_entries.size() > max_entries) {
        m_entries.pop_front();
    }
}

std::string cache_event_log::read(std::uint64_t after, time_point now) const
{
    std::string json = R"({"events":[)";
    bool first = true;
    for (entry const& item : m_entries) {
        if (item.sequence <= after || item.at + m_lag > now) {
            continue;
        }
        json += first ? "" : ",";
        first = false;
        json += fmt::format(R"({{"seq":{},"block":"{:016x}","kind":"{}"}})",
                            item.sequence,
                            item.block,
                            item.stored ? "stored" : "evicted");
    }
    return json + "]}";
}

} // namespace caperjunction::stand_ins
