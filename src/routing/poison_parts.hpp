#ifndef CAPERJUNCTION_ROUTING_POISON_PARTS_HPP
#define CAPERJUNCTION_ROUTING_POISON_PARTS_HPP

#include "model/time.hpp"
#include "routing/answered_parts.hpp"
#include "routing/crash_table.hpp"
#include "routing/part_evidence.hpp"
#include "routing/poison_limits.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace caperjunction::routing {

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

/// Finds prompt parts, and whole requests, that crash every upstream that
/// begins to answer them, from crashes and answers of all hosts.
///
/// Requests that share such a part may otherwise differ, so that each looks new
/// and each takes an upstream down; a whole request is repeated by its caller
/// at any host. The symptom is upstreams that crash one after the other, each
/// with requests that had just begun. What was in flight at a crash is a
/// candidate. A candidate that isn't the cause is answered elsewhere soon; the
/// cause never is.
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

    /// Called when a verdict begins or has changed, and when it ends.
    std::function<void(part_verdict const&)> on_kept_back;
    std::function<void(part_verdict const&)> on_released;

    /// Records a crash as this host or another one has seen it. Returns whether
    /// it was unknown.
    bool record_crash(upstream_crash const& crash);

    /// Records that an upstream had not crashed by `refutation.at`, and ends
    /// the verdicts that the other crashes don't support.
    void refute(crash_refutation const& refutation);

    /// Records that an answer on these parts, begun at `began_at`, has been
    /// written for some time or to its end. Returns the answers that hosts with
    /// evidence against their parts should know of.
    std::vector<part_answer> record_answer(parts const& answered,
                                           std::uint64_t version,
                                           model::time_point began_at);

    /// Records an answer at another host. One that began before all crashes of
    /// its part shows only that it has been answered before.
    void record_answer(part_answer const& answer);

    /// Returns whether this host has seen the part answered at upstreams of
    /// this version.
    bool is_trusted(shared_part const& part, std::uint64_t version) const
    {
        return m_answered.find(part, version).has_value();
    }

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
        return !m_crashes.is_empty() || !m_verdicts.empty();
    }

    /// Records that a request was kept back: as long as such requests come, the
    /// verdict stays.
    void record_kept_back(parts const& requested, model::time_point now);

    /// Returns whether a trial of these suspects must be claimed first: their
    /// copies may come to several hosts at the same moment.
    bool needs_claim(parts const& suspects) const;

    /// Returns whether requests may run beside a trial of these suspects once
    /// they have waited for it: there is little against them.
    bool may_overtake(parts const& suspects) const;

    /// Records the begin of a trial here or at another host, or the claim of
    /// one. `upstream`: key from `start_key`; 0: not yet chosen. `claim`: of
    /// two claims on a part the lower one holds; 0: none was needed.
    void begin_trial(parts const& tried,
                     std::uint64_t upstream,
                     model::time_point now,
                     std::uint32_t claim = 0);

    /// Returns whether no other trial of these parts holds against the claim.
    bool holds_claim(parts const& tried, std::uint32_t claim) const;

    /// Records the end of a trial here or at another host.
    void end_trial(parts const& tried);

    /// Returns whether a trial runs at an upstream, by its key from
    /// `start_key`. Another one there would share its fate.
    bool has_trial_at(std::uint64_t upstream, model::time_point now) const;

    std::vector<part_verdict> const& verdicts() const
    {
        return m_verdicts;
    }

    /// Returns the crashes that count against a part.
    std::size_t crashes_of(shared_part const& part) const
    {
        return in_sequence(part).size();
    }

    /// Returns how many crashes count against a part, by kind.
    crash_counts counts_of(shared_part const& part) const;

    /// Returns the crashes that are not answered for, for a host that has just
    /// come into touch; see `crash_table::unanswered`.
    std::vector<upstream_crash>
    unanswered_crashes(std::size_t max_candidates) const
    {
        return m_crashes.unanswered(max_candidates);
    }

    /// Returns the parts of which only one request at a time runs.
    std::size_t parts_on_trial() const;

    /// Parts and crashes that are remembered.
    std::size_t size() const
    {
        return m_crashes.size();
    }

    /// Forgets what is old.
    void expire(model::time_point now);

private:
    struct trial
    {
        std::uint64_t upstream = 0;
        model::time_point begun_at{};
        std::uint32_t claim = 0;
    };

    void trust(shared_part const& part);
    bool merge_into_verdicts(crash_table::crash const& seen);
    std::size_t narrowing_of(part_verdict const& verdict) const;
    std::size_t crashes_since(part_verdict const& verdict,
                              shared_part const& part) const;
    bool narrow_verdicts(crash_table::crash const& seen);
    void find_cause(crash_table::crash const& seen);
    parts strongest(parts const& candidates) const;
    void change(part_verdict& verdict, parts const& to);
    void add_verdict(part_verdict verdict);
    void end_explained(parts const& found);
    bool is_supported(part_verdict const& verdict) const;
    bool combine(part_verdict const& told);
    void end_verdict(std::size_t index);
    void apply(part_answer const& answer);
    std::vector<part_answer> answers_against(part_verdict const& told) const;
    bool is_explained(crash_table::crash const& seen) const;
    std::vector<crash_table::sighting>
    in_sequence(shared_part const& part) const;
    parts companions(shared_part const& part) const;
    bool is_cause(shared_part const& part) const;
    std::size_t trial_threshold(shared_part const& part) const;
    bool is_suspected(shared_part const& part) const;
    bool has_overlapping_crashes(shared_part const& part) const;
    bool is_live(trial const& item, model::time_point now) const;
    bool is_in_verdict(shared_part const& part) const;
    bool is_in_verdict(shared_part const& part, std::uint64_t version) const;
    bool is_probe_due(part_verdict const& verdict, model::time_point now) const;
    bool is_on_trial(parts const& suspects, model::time_point now) const;

    poison_limits m_limits;
    crash_table m_crashes;
    answered_parts m_answered;
    std::vector<part_verdict> m_verdicts;
    /// The last trial of each part.
    std::unordered_map<shared_part, trial, shared_part_hash> m_trials;
};

} // namespace caperjunction::routing

#endif
