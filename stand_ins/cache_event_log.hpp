#ifndef CAPERJUNCTION_STAND_INS_CACHE_EVENT_LOG_HPP
#define CAPERJUNCTION_STAND_INS_CACHE_EVENT_LOG_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

namespace caperjunction::stand_ins {

/// Log of an engine's prefix cache events. Events become readable only after
/// a delay, and some are lost, as with a real engine.
///
/// Thread safety: none.
class cache_event_log
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Drops every `gap`-th event; 0 drops none. Each event becomes readable
    /// `lag` after it was added.
    cache_event_log(std::chrono::milliseconds lag, std::uint32_t gap)
        : m_lag(lag)
        , m_gap(gap)
    {
    }

    void add(std::uint64_t block, bool stored, time_point now);
    /// Returns the readable events with a sequence number above `after` as
    /// JSON: {"events":[{"seq","block","kind"}]}.
    std::string read(std::uint64_t after, time_point now) const;

private:
    struct entry
    {
        std::uint64_t sequence = 0;
        std::uint64_t block = 0;
        bool stored = false;
        time_point at{};
    };

    std::chrono::milliseconds m_lag;
    std::uint32_t m_gap;
    std::uint64_t m_sequence = 0;
    std::deque<entry> m_entries;
};

} // namespace caperjunction::stand_ins

#endif
