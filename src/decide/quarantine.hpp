#ifndef CAPERJUNCTION_DECIDE_QUARANTINE_HPP
#define CAPERJUNCTION_DECIDE_QUARANTINE_HPP

#include "decide/indices.hpp"
#include "model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace caperjunction::decide {

/// A fingerprint that was in flight when an engine crashed.
struct suspect_record
{
    /// Points from crashes: 2 for strong evidence, 1 for weak evidence.
    std::uint32_t evidence = 0;
    model::time_point last_evidence{};
    /// The latest crash counted on this host; the engine is `no_index` if all
    /// evidence comes from other hosts.
    model::time_point last_crash{};
    index last_engine = no_index;
    /// `name_hash` of the engine that runs it; 0 if it is not running.
    std::uint32_t running_on = 0;
    /// End of the quarantine on all hosts; set at the second crash.
    model::time_point until{};
};

/// Identifies requests that crash every engine that runs them.
///
/// If a caller keeps resending such a request, each resend costs one more
/// engine and all requests on it. After a crash, the requests that had just
/// started there are suspects. A suspect runs only on an engine without other
/// suspects, so that a second crash identifies the cause; the request then gets
/// a clear error. A request that had been streaming is an unlikely cause and
/// becomes a suspect only after two crashes.
///
/// Thread safety: none; owned by one task.
class quarantine
{
public:
    /// Records a crash. Returns true if the fingerprint is in quarantine from
    /// now on. Evidence is strong if the request had just started on the engine
    /// or is the only possible cause. Each broken connection reports the same
    /// crash; it counts once.
    bool record_crash(std::uint64_t fingerprint,
                      index engine,
                      bool is_strong,
                      model::time_point now);

    /// Discards the evidence after a run that ended well.
    void clear(std::uint64_t fingerprint);

    void set_running_engine(std::uint64_t fingerprint,
                            std::uint32_t engine_hash);

    bool is_suspect(std::uint64_t fingerprint) const;

    /// Remaining quarantine time; zero if the request may run.
    model::milliseconds remaining(std::uint64_t fingerprint,
                                  model::time_point now) const;

    /// Merges what another host knows of a fingerprint.
    void merge(std::uint64_t fingerprint,
               std::uint32_t evidence,
               model::milliseconds remaining,
               model::time_point now);

    /// Removes old records; checks at most 4096.
    void expire(model::time_point now);

    /// A record and whose it is.
    struct item
    {
        std::uint64_t fingerprint = 0;
        suspect_record record;
    };

    /// Returns up to `max_count` records with a crash that this host has seen:
    /// those with the most evidence first, and of these the latest.
    std::vector<item> seen_here(std::size_t max_count) const;

private:
    void forget_weakest();

    std::unordered_map<std::uint64_t, suspect_record> m_records;
};

} // namespace caperjunction::decide

#endif
