#ifndef CAPERJUNCTION_DECIDE_QUARANTINE_HPP
#define CAPERJUNCTION_DECIDE_QUARANTINE_HPP

#include "decide/indices.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace caperjunction::decide {

/// A fingerprint that was in flight when an engine crashed.
struct suspect_record
{
    /// Evidence from crashes: 2 for a telling one, 1 for any other.
    std::uint32_t evidence = 0;
    model::time_point last_evidence{};
    /// The latest crash counted on this host; the engine is `no_index` if all
    /// that is known of it comes from others.
    model::time_point last_crash{};
    index last_engine = no_index;
    /// The engine it runs on now, by `name_hash`; 0 if it doesn't run.
    std::uint32_t running_on = 0;
    /// Not run before this, on any host; set at its second crash.
    model::time_point until{};
};

/// Finds the request that crashes every engine that runs it.
///
/// Made for a caller that sends such a request again and again: each resend
/// would cost one more engine and all that runs on it. After a crash what had
/// just started there is suspect, and runs on an engine with no other suspect,
/// so that a second crash names the cause; it then gets a clear error. What
/// had been streaming is hardly the cause, and is suspect after two crashes.
///
/// Thread safety: none; owned by one task.
class quarantine
{
public:
    /// Counts a crash; true if the fingerprint is in quarantine from now on.
    /// It is `telling` if the request had just started there, or was the only
    /// one that can have caused it. One crash is told many times, once for
    /// each broken connection; it counts once.
    bool record_crash(std::uint64_t fingerprint,
                      index engine,
                      bool is_strong,
                      model::time_point now);

    /// A request with this fingerprint ended well: it was not the cause.
    void clear(std::uint64_t fingerprint);

    void set_running_engine(std::uint64_t fingerprint,
                            std::uint32_t engine_hash);

    bool is_suspect(std::uint64_t fingerprint) const;

    /// Time left in quarantine; zero if it may run.
    model::milliseconds remaining(std::uint64_t fingerprint,
                                  model::time_point now) const;

    /// Takes over what another host knows.
    void merge(std::uint64_t fingerprint,
               std::uint32_t evidence,
               model::milliseconds remaining,
               model::time_point now);

    /// Drops what is long past; a bounded number of steps.
    void expire(model::time_point now);

    std::unordered_map<std::uint64_t, suspect_record> const& records() const
    {
        return m_records;
    }

private:
    std::unordered_map<std::uint64_t, suspect_record> m_records;
};

} // namespace caperjunction::decide

#endif
