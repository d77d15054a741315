#include "routing/crash_table.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::routing {

bool crash_table::is_cause(shared_part const& part,
                           is_explained const& explained) const
{
    crash_counts const counted = counts_of(part, explained);
    return counted.in_sequence >= verdict_threshold(part.kind, counted)
           || suffices_with_overlaps(part.kind, counted);
}

crash_table::parts crash_table::companions(shared_part const& part,
                                           is_explained const& explained) const
{
    std::unordered_map<shared_part, std::size_t, shared_part_hash> together;
    std::size_t crashes = 0;
    bool is_newest = true;
    auto const found = m_parts.find(part);
    if (part.kind != part_kind::request || found == m_parts.end()) {
        return {};
    }
    auto const& list = found->second.sightings;
    for (auto item = list.rbegin(); item != list.rend(); ++item) {
        auto const known = m_crashes.find(item->start);
        bool const is_reported = !std::exchange(is_newest, false);
        if (known == m_crashes.end() || !is_reported
            || !counts(found->second, *item, explained)) {
            continue;
        }
        ++crashes;
        for (shared_part const& other : known->second.candidates) {
            bool const is_other =
                other.kind == part_kind::request && other != part;
            together[other] += is_other && counts_at(other, item->start);
        }
    }
    parts result;
    for (auto const& [other, count] : together) {
        if (crashes > 0 && count == crashes) {
            result.push_back(other);
        }
    }
    return result;
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
