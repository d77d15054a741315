#include "routing/poison_parts.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace caperjunction::routing {
namespace {

constexpr std::uint32_t max_doublings = 6;

using parts = poison_parts::parts;

} // namespace

std::size_t poison_parts::trial_threshold(shared_part const& part) const
{
    if (m_crashes.is_trusted(part)) {
        return m_limits.trusted_trial;
    }
    return part.kind == part_kind::request ? m_limits.request_trial
                                           : m_limits.trial;
}

bool poison_parts::is_suspected(shared_part const& part) const
{
    return in_sequence(part).size() >= trial_threshold(part);
}

bool poison_parts::has_overlapping_crashes(shared_part const& part) const
{
    return part.kind == part_kind::request
           && counts_of(part).in_all >= m_limits.request_trial;
}

bool poison_parts::needs_claim(parts const& suspects) const
{
    return std::any_of(
        suspects.begin(), suspects.end(), [this](shared_part const& part) {
            return has_overlapping_crashes(part);
        });
}

bool poison_parts::may_overtake(parts const& suspects) const
{
    return std::all_of(
        suspects.begin(), suspects.end(), [this](shared_part const& part) {
            return part.kind == part_kind::request && !is_suspected(part)
                   && !is_in_verdict(part);
        });
}

bool poison_parts::is_probe_due(part_verdict const& verdict,
                                model::time_point now) const
{
    auto const doublings = std::min(verdict.failed_probes, max_doublings);
    return now - verdict.last_crash >= m_limits.probe_delay * (1U << doublings);
}

part_judgement poison_parts::judge(parts const& requested,
                                   std::uint64_t version,
                                   bool is_repeat,
                                   model::time_point now) const
{
    for (part_verdict const& verdict : m_verdicts) {
        if (includes(requested, verdict.parts) && verdict.holds_for(version)
            && !is_probe_due(verdict, now)) {
            return part_judgement::kept_back;
        }
    }
    parts const suspects = suspects_among(requested, version, is_repeat);
    if (suspects.empty()) {
        return part_judgement::free;
    }
    return is_on_trial(suspects, now) ? part_judgement::awaits_trial
                                      : part_judgement::trial;
}

parts poison_parts::suspects_among(parts const& requested,
                                   std::uint64_t version,
                                   bool is_repeat) const
{
    parts suspects;
    for (shared_part const& part : requested) {
        // The crash of a repeat may not be confirmed yet.
        bool const is_new = is_repeat && part.kind == part_kind::prompt
                            && !is_trusted(part, version);
        if (is_new || is_suspected(part) || has_overlapping_crashes(part)
            || is_in_verdict(part, version)) {
            suspects.push_back(part);
        }
    }
    return suspects;
}

bool poison_parts::is_in_verdict(shared_part const& part) const
{
    return std::any_of(m_verdicts.begin(),
                       m_verdicts.end(),
                       [&part](part_verdict const& verdict) {
                           return contains(verdict.parts, part);
                       });
}

// Also by a verdict on another version, unless this one has answered it.
bool poison_parts::is_in_verdict(shared_part const& part,
                                 std::uint64_t version) const
{
    bool const is_answered = m_crashes.answered_at(part, version).has_value();
    return std::any_of(
        m_verdicts.begin(), m_verdicts.end(), [&](part_verdict const& verdict) {
            bool const is_here = verdict.holds_for(version);
            return contains(verdict.parts, part) && (is_here || !is_answered);
        });
}

bool poison_parts::is_on_trial(parts const& suspects,
                               model::time_point now) const
{
    return std::any_of(
        suspects.begin(), suspects.end(), [&](shared_part const& part) {
            auto const found = m_trials.find(part);
            return found != m_trials.end() && is_live(found->second, now);
        });
}

bool poison_parts::is_live(trial const& item, model::time_point now) const
{
    return now - item.begun_at < m_limits.trial_timeout;
}

bool poison_parts::has_trial_at(std::uint64_t upstream,
                                model::time_point now) const
{
    return std::any_of(m_trials.begin(), m_trials.end(), [&](auto const& item) {
        return item.second.upstream == upstream && is_live(item.second, now);
    });
}

void poison_parts::begin_trial(parts const& tried,
                               std::uint64_t upstream,
                               model::time_point now,
                               std::uint32_t claim)
{
    for (shared_part const& part : tried) {
        auto const [found, is_new] =
            m_trials.try_emplace(part, trial{upstream, now, claim});
        trial& known = found->second;
        bool const holds = is_live(known, now) && known.claim < claim;
        if (!is_new && !holds) {
            known = {upstream, now, claim};
        }
    }
}

bool poison_parts::holds_claim(parts const& tried, std::uint32_t claim) const
{
    return std::all_of(
        tried.begin(), tried.end(), [&](shared_part const& part) {
            auto const found = m_trials.find(part);
            return found != m_trials.end() && found->second.claim == claim;
        });
}

void poison_parts::end_trial(parts const& tried)
{
    for (shared_part const& part : tried) {
        m_trials.erase(part);
    }
}

void poison_parts::record_kept_back(parts const& requested,
                                    model::time_point now)
{
    for (part_verdict& verdict : m_verdicts) {
        if (includes(requested, verdict.parts)) {
            verdict.seen_at = std::max(verdict.seen_at, now);
        }
    }
}

std::size_t poison_parts::parts_on_trial() const
{
    std::size_t count = 0;
    m_crashes.each([&](shared_part const& part) {
        count += is_suspected(part) ? 1 : 0;
    });
    return count;
}

void poison_parts::expire(model::time_point now)
{
    for (std::size_t index = m_verdicts.size(); index-- > 0;) {
        part_verdict const& verdict = m_verdicts[index];
        if (now - std::max(verdict.seen_at, verdict.last_crash)
            > m_limits.retention) {
            end_verdict(index);
        }
    }
    m_crashes.expire(now, [this](shared_part const& part) {
        return is_in_verdict(part);
    });
    std::erase_if(m_trials, [&](auto const& item) {
        return !is_live(item.second, now);
    });
}

} // namespace caperjunction::routing
