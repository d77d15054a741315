#ifndef CAPERJUNCTION_ROUTING_CRASH_SUSPECTS_HPP
#define CAPERJUNCTION_ROUTING_CRASH_SUSPECTS_HPP

#include "model/time.hpp"
#include "routing/peer_digest.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace caperjunction::routing {

/// Finds the request that breaks each upstream which runs it.
///
/// Its caller sends it again and again, and every try costs an upstream for
/// seconds and all that runs there. Callers notice broken streams that come
/// in bunches. What was on its way when an upstream broke is suspect; what
/// was on its way at several breaks, on whichever host, and never ended well
/// is not sent any more.
///
/// Thread safety: none; owned by one task.
class crash_suspects
{
public:
    /// Breaks, over all hosts, from which on a request isn't sent.
    static constexpr std::uint32_t max_crashes = 3;

    /// The upstream broke while it had the request.
    void record_crash(std::uint64_t fingerprint, model::time_point now);

    /// The request ended well: it was not the cause.
    void record_success(std::uint64_t fingerprint)
    {
        m_known.erase(fingerprint);
    }

    bool is_empty() const
    {
        return m_known.empty();
    }

    /// Crashes counted by this host.
    std::uint32_t crashes_of(std::uint64_t fingerprint,
                             model::time_point now) const;

    /// What to tell the others, the worst first, at most `most`.
    std::vector<crash_suspect> suspects_to_send(std::size_t max_count,
                                                model::time_point now) const;

private:
    struct record
    {
        std::uint32_t crashes = 0;
        model::time_point last{};
    };

    /// A caller comes back within seconds; a day's breaks are no evidence.
    static constexpr std::chrono::seconds memory{120};
    static constexpr std::size_t max_tracked = 4'096;

    std::unordered_map<std::uint64_t, record> m_known;
};

} // namespace caperjunction::routing

#endif
