#ifndef CAPERJUNCTION_ROUTING_POISON_PARTS_HPP
#define CAPERJUNCTION_ROUTING_POISON_PARTS_HPP

#include "model/time.hpp"
#include "routing/part_evidence.hpp"
#include "routing/software.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

namespace caperjunction::routing {

/// When a part is suspected and kept from upstreams.
struct poison_limits
{
    /// Crashes, each at a request that was sent after the one before, without
    /// an answer between them: from `trial` on, one request at a time runs;
    /// from `verdict` on, none does.
    std::size_t trial = 2;
    std::size_t verdict = 3;
    /// The same for a part that has been answered before. Requests of such a
    /// part are often in flight beside others that crash their upstreams.
    std::size_t trusted_trial = 4;
    std::size_t trusted_verdict = 5;
    /// A request that was sent after a crash, and not begun, counts from this
    /// time after it on. Where several upstreams fail together, it may have
    /// been sent to one that was down already.
    model::milliseconds min_between{100};
    /// A trial without a result no longer holds up others after this time.
    model::milliseconds trial_timeout{3'000};
    /// Time after the last crash until a request is sent as a probe. It doubles
    /// with each one that crashes its upstream.
    model::milliseconds probe_delay{600'000};
    /// Evidence is forgotten after this time, and a verdict if no such request
    /// has come for as long.
    model::milliseconds retention{600'000};
};

/// Whether a request may run at upstreams of one version.
enum class part_judgement : std::uint8_t
{
    /// Nothing speaks against it.
    free,
    /// It may run as a trial: one at a time over all hosts.
    trial,
    /// It may not run while another trial does.
    awaits_trial,
    /// It crashes each upstream that begins to answer it.
    kept_back,
};

/// Finds prompt parts that crash every upstream that begins to write an answer
/// on them, from crashes and answers of all hosts.
///
/// Requests that share such a part may otherwise differ, so that each looks new
/// and each takes an upstream down. The symptom is upstreams that crash one
/// after the other, each with requests that had just begun. What was in flight
/// at a crash is a candidate. A candidate that isn't the cause is answered
/// elsewhere soon; the cause never is.
///
/// All evidence is keyed by the start of the upstream and by part, so that it
/// may come from several hosts, in any order and more than once.
///
/// Thread safety: none; owned by one task.
class poison_parts
{
public:
    using parts = std::vector<shared_part>;

    explicit poison_parts(poison_limits const& limits = {});

    /// Called when a verdict begins, and when it ends.
    std::function<void(part_verdict const&)> on_kept_back;
    std::function<void(part_verdict const&)> on_released;

    /// Records a crash as this host or another one has seen it.
    void record_crash(upstream_crash const& crash);

    /// Records that an answer on these parts, begun at `began_at`, has been
    /// written for some time or to its end. Returns the answers that hosts with
    /// evidence against their parts should know of.
    std::vector<part_answer> record_answer(parts const& answered,
                                           std::uint64_t version,
                                           model::time_point began_at);

    /// Records an answer at another host. One that began before all crashes of
    /// its part shows only that it has been answered before.
    void record_answer(part_answer const& answer);

    /// Returns whether this host has seen the part answered, or was told so.
    bool is_trusted(shared_part const& part, std::uint64_t version) const;

    /// Returns what this host knows of the candidates of a crash that are not
    /// trusted by the one that has seen it.
    std::vector<part_answer> answers_for(upstream_crash const& crash) const;

    /// Merges a verdict of another host. Returns the answers by which that is
    /// wrong, if this host knows any.
    std::vector<part_answer> merge(part_verdict const& told);

    /// Returns whether a request with these sorted parts, which are of one
    /// service, may run at upstreams of `version`. `is_repeat`: it has been in
    /// flight at a crash.
    part_judgement judge(parts const& requested,
                         std::uint64_t version,
                         bool is_repeat,
                         model::time_point now) const;

    /// Returns those of the parts because of which a request is a trial.
    parts suspects_among(parts const& requested,
                         std::uint64_t version,
                         bool is_repeat) const;

    /// Whether there is evidence against any part. If not, every request is
    /// free.
    bool has_evidence() const
    {
        return !m_parts.empty() || !m_verdicts.empty();
    }

    /// Records that a request was kept back: as long as such requests come, the
    /// verdict stays.
    void record_kept_back(parts const& requested, model::time_point now);

    /// Records the begin or the end of a trial here or at another host.
    void begin_trial(parts const& tried, model::time_point now);
    void end_trial(parts const& tried);

    std::vector<part_verdict> const& verdicts() const
    {
        return m_verdicts;
    }

    /// Returns the parts of which only one request at a time runs.
    std::size_t parts_on_trial() const;

    /// Parts and crashes that are remembered.
    std::size_t size() const
    {
        return m_parts.size() + m_crashes.size();
    }

    /// Forgets what is old.
    void expire(model::time_point now);

private:
    /// One crash at which a part was a candidate.
    struct sighting
    {
        std::uint64_t start = 0;
        std::uint64_t version = 0;
        model::time_point at{};
        model::time_point sent_at{};
        bool has_begun = false;
    };

    /// The last answer that began at upstreams of a version.
    struct answered
    {
        std::uint64_t version = 0;
        model::time_point began_at{};
    };

    struct evidence
    {
        /// By time.
        std::vector<sighting> sightings;
        std::vector<answered> answers;
        bool is_trusted = false;
    };

    struct crash_record
    {
        model::time_point at{};
        std::uint64_t version = 0;
        parts candidates;
    };

    using evidence_map =
        std::unordered_map<shared_part, evidence, shared_part_hash>;
    using trust_set =
        std::unordered_map<shared_part, answered, shared_part_hash>;

    void add_candidate(upstream_crash const& crash,
                       crash_candidate const& candidate);
    bool merge_into_verdicts(crash_record const& crash);
    void find_cause(crash_record const& crash);
    void narrow(part_verdict& verdict, parts const& to);
    void add_verdict(part_verdict verdict);
    void apply_answer(part_answer const& answer);
    void release(shared_part const& part,
                 std::uint64_t version,
                 model::time_point began_at);
    bool is_explained(std::uint64_t start) const;
    std::size_t count_crashes(evidence const& against) const;
    std::vector<sighting> counted(evidence const& against) const;
    std::size_t trial_threshold(evidence const& against, bool is_repeat) const;
    bool is_suspected(shared_part const& part, bool is_repeat) const;
    bool is_in_verdict(shared_part const& part) const;
    bool is_in_verdict(shared_part const& part, std::uint64_t version) const;
    bool is_probe_due(part_verdict const& verdict, model::time_point now) const;
    bool is_on_trial(parts const& suspects, model::time_point now) const;
    void trust(shared_part const& part,
               std::uint64_t version,
               model::time_point began_at);
    answered const* last_answer(shared_part const& part) const;

    poison_limits m_limits;
    evidence_map m_parts;
    std::unordered_map<std::uint64_t, crash_record> m_crashes;
    /// By age.
    std::deque<std::uint64_t> m_crash_order;
    std::vector<part_verdict> m_verdicts;
    std::unordered_map<shared_part, model::time_point, shared_part_hash>
        m_trials;
    /// Parts that were answered here, of late and before.
    trust_set m_trusted;
    trust_set m_trusted_before;
};

} // namespace caperjunction::routing

#endif
