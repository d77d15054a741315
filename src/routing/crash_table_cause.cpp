#include "routing/crash_table.hpp"

#include <algorithm>

namespace caperjunction::routing {

bool crash_table::is_cause(shared_part const& part,
                           is_explained const& explained) const
{
    crash_counts const counted = counts_of(part, explained);
    return counted.in_sequence >= verdict_threshold(part.kind, counted)
           || (suffices_with_overlaps(part.kind, counted)
               && !is_shadowed(part, counted.in_all, explained));
}

// Of requests that were in flight together at crashes, each but one is there by
// chance. Others may not have told of the last crash yet.
bool crash_table::is_shadowed(shared_part const& part,
                              std::size_t crashes,
                              is_explained const& explained) const
{
    if (part.kind != part_kind::request) {
        return false;
    }
    evidence const& against = m_parts.at(part);
    std::unordered_map<shared_part, std::size_t, shared_part_hash> together;
    for (sighting const& item : against.sightings) {
        auto const known = m_crashes.find(item.start);
        if (known == m_crashes.end() || !counts(against, item, explained)) {
            continue;
        }
        for (shared_part const& other : known->second.candidates) {
            together[other] += other != part && counts_at(other, item.start);
        }
    }
    return std::any_of(
        together.begin(), together.end(), [crashes](auto const& item) {
            return item.second + 1 >= crashes;
        });
}

/// Returns whether a crash counts against a part: it wasn't answered since.
bool crash_table::counts_at(shared_part const& part, std::uint64_t start) const
{
    auto const found = m_parts.find(part);
    if (found == m_parts.end()) {
        return false;
    }
    auto const& list = found->second.sightings;
    return std::any_of(list.begin(), list.end(), [&](sighting const& item) {
        return item.start == start && !is_answered(found->second, item);
    });
}

bool crash_table::may_be_chance(part_kind kind,
                                crash_counts const& counted) const
{
    return kind == part_kind::request
           && counted.without >= m_limits.chance_crashes;
}

std::size_t crash_table::verdict_threshold(part_kind kind,
                                           crash_counts const& counted) const
{
    if (counted.is_trusted) {
        return m_limits.trusted_verdict;
    }
    return m_limits.verdict + (may_be_chance(kind, counted) ? 1 : 0);
}

/// Whether crashes at requests that were under way together make up for those
/// that are missing in sequence.
bool crash_table::suffices_with_overlaps(part_kind kind,
                                         crash_counts const& counted) const
{
    std::size_t const needed = verdict_threshold(kind, counted);
    if (kind != part_kind::request) {
        return !counted.is_trusted && counted.in_sequence + 1 >= needed
               && counted.in_all >= m_limits.overlapping;
    }
    // One cause takes all that several engines run at a moment.
    if (counted.span < m_limits.outage_time) {
        return false;
    }
    bool const is_unclear = may_be_chance(kind, counted);
    std::size_t const credit = counted.is_trusted && !is_unclear
                                   ? m_limits.trusted_overlap_credit
                                   : m_limits.overlap_credit;
    return counted.in_sequence + credit >= needed
           && counted.in_all >= needed + (is_unclear ? 1 : 0);
}

/// Returns the crashes of its service, shortly before its last one, at which a
/// part was not in flight.
std::size_t crash_table::crashes_without(shared_part const& part,
                                         evidence const& against) const
{
    if (against.sightings.empty()) {
        return 0;
    }
    auto const last = against.sightings.back().at;
    auto const since = last - m_limits.chance_window;
    return static_cast<std::size_t>(std::count_if(
        m_crashes.begin(), m_crashes.end(), [&](auto const& item) {
            crash const& seen = item.second;
            return !seen.is_refuted() && seen.service == part.service
                   && seen.at >= since && seen.at <= last
                   && !routing::contains(seen.candidates, part);
        }));
}

} // namespace caperjunction::routing
