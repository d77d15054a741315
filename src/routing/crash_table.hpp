#ifndef CAPERJUNCTION_ROUTING_CRASH_TABLE_HPP
#define CAPERJUNCTION_ROUTING_CRASH_TABLE_HPP

#include "model/time.hpp"
#include "routing/crash_counts.hpp"
#include "routing/part_evidence.hpp"
#include "routing/poison_limits.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace caperjunction::routing {

/// The crashes of all hosts by what was in flight at them, and the answers
/// since. Bounded in number: weak evidence is forgotten first.
///
/// Crashes are keyed by the start of the upstream: reports of several hosts
/// about one of them add up to one, in any order and however often they come.
///
/// Thread safety: none; owned by one task.
class crash_table
{
public:
    using parts = std::vector<shared_part>;

    /// One crash at which a part was a candidate.
    struct sighting
    {
        std::uint64_t start = 0;
        std::uint64_t version = 0;
        model::time_point at{};
        model::time_point sent_at{};
        bool has_begun = false;
    };

    /// A crash, as far as hosts have told.
    struct crash
    {
        model::time_point at{};
        /// Until then its upstream has surely lived.
        model::time_point alive_at{};
        std::uint64_t service = 0;
        std::uint64_t version = 0;
        /// Sorted.
        parts candidates;
        /// Breaks that were seen up to this time were no crash; no value if no
        /// host has refuted it.
        std::optional<model::time_point> refuted_at;

        /// Returns whether it was refuted and not seen again since.
        bool is_refuted() const
        {
            return refuted_at && candidates.empty();
        }
    };

    /// Returns whether a crash counts against no other part: a verdict explains
    /// it.
    using is_explained = std::function<bool(crash const&)>;

    explicit crash_table(poison_limits const& limits)
        : m_limits(limits)
    {
    }

    /// Records what a host has seen and returns what is known of that crash,
    /// until the next call.
    ///
    /// A host that loses its links to an upstream takes that for a crash. If
    /// the upstream has begun a request that was sent later, it was none.
    crash const& record(upstream_crash const& seen);

    /// Records that the upstream had not crashed by `refutation.at`, and
    /// forgets the evidence from up to then. No effect on an unknown crash.
    void refute(crash_refutation const& refutation);

    /// Records an answer that began at `answer.began_at`: it clears its part of
    /// the crashes before that. Parts without evidence are left out.
    void record_answer(part_answer const& answer);

    /// Records that a part has been answered before the crashes. Returns
    /// whether that is news about a part with evidence.
    bool trust(shared_part const& part);

    /// Whether there is evidence against the part, or has been.
    bool contains(shared_part const& part) const
    {
        return m_parts.count(part) > 0;
    }

    /// Lets answers of the part be recorded, with or without a crash, until it
    /// is no longer kept.
    void watch(shared_part const& part)
    {
        m_parts[part].is_watched = true;
    }

    bool is_trusted(shared_part const& part) const;

    /// Returns the last answer of a part with evidence at upstreams of a
    /// version.
    std::optional<model::time_point> answered_at(shared_part const& part,
                                                 std::uint64_t version) const;

    /// Returns the crashes that count against a part: those that are neither
    /// answered since nor explained, each at a request that was sent after the
    /// one before.
    ///
    /// Crashes at requests that were sent before the last one are not
    /// independent of it: a data centre that is lost takes all of them.
    std::vector<sighting> in_sequence(shared_part const& part,
                                      is_explained const& explained) const;

    /// Returns how many crashes count against a part.
    crash_counts counts_of(shared_part const& part,
                           is_explained const& explained) const;

    /// Returns whether the crashes show that the part has caused them.
    bool is_cause(shared_part const& part, is_explained const& explained) const;

    /// Returns the other requests that were in flight, and not answered since,
    /// at all crashes that count against a request: each of them may be the
    /// cause. The newest crash is left out, as hosts may not have told of it
    /// yet.
    parts companions(shared_part const& part,
                     is_explained const& explained) const;

    /// Returns whether a crash of the upstream with this start is remembered
    /// and not refuted.
    bool knows(std::uint64_t start) const
    {
        auto const found = m_crashes.find(start);
        return found != m_crashes.end() && !found->second.is_refuted();
    }

    /// Returns whether all of these sorted parts were in flight at one crash.
    bool has_crash_of(parts const& all) const;

    /// Returns the crashes since the last answers of the parts in them, with up
    /// to `max_candidates` in all: those at most crashes first.
    std::vector<upstream_crash> unanswered(std::size_t max_candidates) const;

    bool is_empty() const
    {
        return m_parts.empty();
    }

    std::size_t size() const
    {
        return m_parts.size() + m_crashes.size();
    }

    /// Calls `visit` for each part with evidence.
    template <typename Visitor>
    void each(Visitor visit) const
    {
        for (auto const& [part, against] : m_parts) {
            visit(part);
        }
    }

    /// Forgets what is old, except of parts that `is_kept` returns true for.
    void expire(model::time_point now,
                std::function<bool(shared_part const&)> const& is_kept);

private:
    static constexpr std::size_t max_parts = 4'096;

    struct last_answer
    {
        std::uint64_t version = 0;
        model::time_point began_at{};
    };

    struct evidence
    {
        /// By time.
        std::vector<sighting> sightings;
        /// By version.
        std::vector<last_answer> answers;
        bool is_trusted = false;
        bool is_watched = false;
    };

    void forget_weakest();
    /// Forgets what was seen of a crash of this upstream before `alive_at`.
    void forget_before(std::uint64_t start, model::time_point alive_at);
    static std::size_t count_unanswered(evidence const& against);
    static bool is_answered(evidence const& against, sighting const& item);
    void add(upstream_crash const& seen, crash_candidate const& candidate);
    bool may_be_chance(part_kind kind, crash_counts const& counted) const;
    std::size_t verdict_threshold(part_kind kind,
                                  crash_counts const& counted) const;
    bool suffices_with_overlaps(part_kind kind,
                                crash_counts const& counted) const;
    bool counts_at(shared_part const& part, std::uint64_t start) const;
    std::size_t crashes_without(shared_part const& part,
                                evidence const& against) const;
    bool counts(evidence const& against,
                sighting const& item,
                is_explained const& explained) const;

    poison_limits m_limits;
    std::unordered_map<shared_part, evidence, shared_part_hash> m_parts;
    std::unordered_map<std::uint64_t, crash> m_crashes;
    /// By age.
    std::deque<std::uint64_t> m_order;
};

} // namespace caperjunction::routing

#endif
