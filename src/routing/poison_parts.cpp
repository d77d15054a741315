#include "routing/poison_parts.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <utility>

namespace caperjunction::routing {
namespace {

constexpr std::size_t max_verdicts = 64;

using parts = poison_parts::parts;

} // namespace

poison_parts::poison_parts(poison_limits const& limits)
    : m_limits(limits)
    , m_crashes(limits)
{
}

bool poison_parts::record_crash(upstream_crash const& crash)
{
    bool const was_known = m_crashes.knows(crash.start);
    crash_table::crash const& known = m_crashes.record(crash);
    for (crash_candidate const& candidate : crash.candidates) {
        shared_part const part = crash.part_of(candidate);
        if (candidate.is_trusted || is_trusted(part, crash.version)) {
            trust(part);
        }
        // One that was sent since is a trial of its own.
        auto const trial = m_trials.find(part);
        if (trial != m_trials.end() && trial->second.begun_at <= crash.at) {
            m_trials.erase(trial);
        }
    }
    if (!merge_into_verdicts(known) && !narrow_verdicts(known)) {
        find_cause(known);
    }
    return !was_known && m_crashes.knows(crash.start);
}

void poison_parts::refute(crash_refutation const& refutation)
{
    m_crashes.refute(refutation);
    for (std::size_t index = m_verdicts.size(); index-- > 0;) {
        part_verdict const& verdict = m_verdicts[index];
        auto const& crashes = verdict.crashes;
        bool const rests_on_it =
            std::find(crashes.begin(), crashes.end(), refutation.start)
            != crashes.end();
        if (rests_on_it && !is_supported(verdict)) {
            end_verdict(index);
        }
    }
}

// Returns whether the crash is explained by parts that are kept back already:
// their requests were on the way, or were sent by a host that didn't know.
bool poison_parts::merge_into_verdicts(crash_table::crash const& seen)
{
    bool explains = false;
    for (part_verdict& verdict : m_verdicts) {
        if (!includes(seen.candidates, verdict.parts)) {
            continue;
        }
        explains = true;
        bool const was_probe =
            seen.at - verdict.last_crash >= m_limits.probe_delay;
        verdict.failed_probes += was_probe ? 1 : 0;
        verdict.last_crash = std::max(verdict.last_crash, seen.at);
        verdict.add_version(seen.version);
    }
    return explains;
}

// No request is two requests: each of them has run alone since.
std::size_t poison_parts::narrowing_of(part_verdict const& verdict) const
{
    auto const requests = std::count_if(
        verdict.parts.begin(), verdict.parts.end(), [](auto const& part) {
            return part.kind == part_kind::request;
        });
    return requests > 1 ? 1 : m_limits.narrowing;
}

// Of whole requests those count that were sent as trials: hosts tell one after
// another of what was in flight together at a crash.
std::size_t poison_parts::crashes_since(part_verdict const& verdict,
                                        shared_part const& part) const
{
    auto const list = in_sequence(part);
    return static_cast<std::size_t>(
        std::count_if(list.begin(), list.end(), [&](auto const& item) {
            return part.kind != part_kind::request
                   || item.sent_at > verdict.last_crash;
        }));
}

bool poison_parts::narrow_verdicts(crash_table::crash const& seen)
{
    for (part_verdict& verdict : m_verdicts) {
        for (shared_part const& part : verdict.parts) {
            if (contains(seen.candidates, part)
                && crashes_since(verdict, part) >= narrowing_of(verdict)) {
                change(verdict, {part});
                return true;
            }
        }
    }
    return false;
}

// Returns the parts with the most evidence among those that it suffices
// against. Parts that were answered before come last.
parts poison_parts::strongest(parts const& candidates) const
{
    parts causes;
    std::pair<bool, std::size_t> best{false, 0};
    for (shared_part const& part : candidates) {
        if (!is_cause(part)) {
            continue;
        }
        std::pair<bool, std::size_t> const weight{!m_crashes.is_trusted(part),
                                                  in_sequence(part).size()};
        if (weight < best) {
            continue;
        }
        if (weight > best) {
            causes.clear();
        }
        best = weight;
        causes.push_back(part);
    }
    return causes;
}

void poison_parts::find_cause(crash_table::crash const& seen)
{
    part_verdict verdict;
    verdict.parts = strongest(seen.candidates);
    if (verdict.parts.empty()) {
        return;
    }
    shared_part const first = verdict.parts.front();
    for (crash_table::sighting const& item : in_sequence(first)) {
        verdict.add_version(item.version);
        verdict.crashes.push_back(item.start);
    }
    verdict.is_trusted = m_crashes.is_trusted(first);
    verdict.last_crash = seen.at;
    verdict.seen_at = seen.at;
    verdict.parts = union_of(verdict.parts, companions(first));
    parts const found = verdict.parts;
    add_verdict(std::move(verdict));
    end_explained(found);
}

/// Ends the verdicts that rest on crashes which one on `found` explains.
void poison_parts::end_explained(parts const& found)
{
    for (std::size_t index = m_verdicts.size(); index-- > 0;) {
        part_verdict const& other = m_verdicts[index];
        bool const shares_crash =
            other.parts != found
            && m_crashes.has_crash_of(union_of(other.parts, found));
        if (shares_crash && !is_supported(other)) {
            end_verdict(index);
        }
    }
}

/// Whether the crashes that no other verdict explains suffice.
bool poison_parts::is_supported(part_verdict const& verdict) const
{
    auto const explained = [this, &verdict](crash_table::crash const& seen) {
        return std::any_of(m_verdicts.begin(),
                           m_verdicts.end(),
                           [&](part_verdict const& other) {
                               return &other != &verdict
                                      && includes(seen.candidates, other.parts);
                           });
    };
    return std::any_of(verdict.parts.begin(),
                       verdict.parts.end(),
                       [&](shared_part const& part) {
                           return m_crashes.is_cause(part, explained);
                       });
}

void poison_parts::change(part_verdict& verdict, parts const& to)
{
    verdict.parts = to;
    if (on_kept_back) {
        on_kept_back(verdict);
    }
}

void poison_parts::add_verdict(part_verdict verdict)
{
    if (m_verdicts.size() >= max_verdicts) {
        return;
    }
    for (shared_part const& part : verdict.parts) {
        // For the answers that may end it.
        m_crashes.watch(part);
    }
    m_verdicts.push_back(std::move(verdict));
    if (on_kept_back) {
        on_kept_back(m_verdicts.back());
    }
}

void poison_parts::end_verdict(std::size_t index)
{
    part_verdict const ended = m_verdicts[index];
    m_verdicts.erase(m_verdicts.begin() + static_cast<std::ptrdiff_t>(index));
    if (on_released) {
        on_released(ended);
    }
}

bool poison_parts::is_explained(crash_table::crash const& seen) const
{
    return std::any_of(m_verdicts.begin(),
                       m_verdicts.end(),
                       [&seen](part_verdict const& verdict) {
                           return includes(seen.candidates, verdict.parts);
                       });
}

std::vector<crash_table::sighting>
poison_parts::in_sequence(shared_part const& part) const
{
    return m_crashes.in_sequence(part, [this](crash_table::crash const& seen) {
        return is_explained(seen);
    });
}

crash_counts poison_parts::counts_of(shared_part const& part) const
{
    return m_crashes.counts_of(part, [this](crash_table::crash const& seen) {
        return is_explained(seen);
    });
}

parts poison_parts::companions(shared_part const& part) const
{
    auto list =
        m_crashes.companions(part, [this](crash_table::crash const& seen) {
            return is_explained(seen);
        });
    std::sort(list.begin(), list.end());
    return list;
}

bool poison_parts::is_cause(shared_part const& part) const
{
    return m_crashes.is_cause(part, [this](crash_table::crash const& seen) {
        return is_explained(seen);
    });
}

} // namespace caperjunction::routing
