#ifndef CAPERJUNCTION_ROUTING_CRASH_SUSPECTS_HPP
#define CAPERJUNCTION_ROUTING_CRASH_SUSPECTS_HPP

#include "model/time.hpp"
#include "routing/peer_digest.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace caperjunction::routing {

/// Finds requests that crash every upstream they run on.
///
/// The caller of such a request repeats it, and each attempt takes an upstream
/// down for seconds and ends everything that runs there. The symptom is broken
/// streams in bursts. Each request in flight at a crashed upstream becomes a
/// suspect. A request that was in flight at several crashes, on any hosts, and
/// never succeeded is no longer sent.
///
/// Thread safety: none; owned by one task.
class crash_suspects
{
public:
    /// Number of crashes over all hosts from which a request is refused.
    static constexpr std::uint32_t max_crashes = 3;

    /// Records that an upstream crashed while it had the request.
    void record_crash(std::uint64_t fingerprint, model::time_point now);

    /// Records that the request succeeded, so it is not the cause of the
    /// crashes.
    void record_success(std::uint64_t fingerprint)
    {
        m_records.erase(fingerprint);
    }

    bool is_empty() const
    {
        return m_records.empty();
    }

    /// Returns the crashes that this host has counted.
    std::uint32_t crashes_of(std::uint64_t fingerprint,
                             model::time_point now) const;

    /// Returns up to `max_count` suspects to send to other hosts, most crashes
    /// first.
    std::vector<crash_suspect> suspects_to_send(std::size_t max_count,
                                                model::time_point now) const;

private:
    struct record
    {
        std::uint32_t crashes = 0;
        model::time_point last{};
    };

    /// Callers repeat a request within seconds. Crashes of a whole day are not
    /// evidence against one request.
    static constexpr std::chrono::seconds retention{120};
    static constexpr std::size_t max_tracked = 4'096;

    std::unordered_map<std::uint64_t, record> m_records;
};

} // namespace caperjunction::routing

#endif
