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
    std::uint32_t crashes = 0;
    model::time_point last{};
    /// The engine it runs on now, by `name_hash`; 0 if it doesn't run.
    std::uint32_t running_on = 0;
    /// Not run before this, on any host; set at its second crash.
    model::time_point until{};
};

/// Finds the request that crashes every engine that runs it.
///
/// Made for a caller that sends such a request again and again: each resend
/// would cost one more engine and all that runs on it. After the first crash
/// whatever was in flight is suspect and runs on an engine with no other
/// suspect, so the second crash names the cause; it then gets a clear error.
///
/// Thread safety: none; owned by one task.
class quarantine
{
public:
    /// Counts a crash; true if the fingerprint is in quarantine from now on.
    bool crashed(std::uint64_t fingerprint, model::time_point now);

    /// A request with this fingerprint ended well: it was not the cause.
    void cleared(std::uint64_t fingerprint);

    void running(std::uint64_t fingerprint, std::uint32_t engine_hash);

    bool suspected(std::uint64_t fingerprint) const;

    /// Time left in quarantine; zero if it may run.
    model::milliseconds remaining(std::uint64_t fingerprint,
                                  model::time_point now) const;

    /// Takes over what another host knows.
    void learn(std::uint64_t fingerprint,
               std::uint32_t crashes,
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
