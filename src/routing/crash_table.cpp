#include "routing/crash_table.hpp"

#include <algorithm>

namespace caperjunction::routing {
namespace {

constexpr std::size_t max_crashes = 512;
constexpr std::size_t max_sightings = 16;
/// Times of other hosts may be late by this: the age of news counts from when
/// they were sent.
constexpr model::milliseconds max_delay_of_news{250};

/// Returns the last time at which an upstream took a request that it has begun.
model::time_point alive_at(upstream_crash const& seen)
{
    model::time_point latest{};
    for (crash_candidate const& candidate : seen.candidates) {
        if (candidate.has_begun) {
            latest = std::max(latest, candidate.sent_at);
        }
    }
    return latest;
}

void add_once(std::vector<shared_part>& to, shared_part const& part)
{
    auto const place = std::lower_bound(to.begin(), to.end(), part);
    if (place == to.end() || *place != part) {
        to.insert(place, part);
    }
}

} // namespace

crash_table::crash const& crash_table::record(upstream_crash const& seen)
{
    if (m_order.size() >= max_crashes && m_crashes.count(seen.start) == 0) {
        m_crashes.erase(m_order.front());
        m_order.pop_front();
    }
    auto const [found, is_new] = m_crashes.try_emplace(
        seen.start, crash{seen.at, {}, seen.service, seen.version, {}, {}});
    crash& known = found->second;
    if (is_new) {
        m_order.push_back(seen.start);
    }
    if (known.refuted_at && seen.at <= *known.refuted_at + max_delay_of_news) {
        return known;
    }
    if (known.is_refuted()) {
        known.at = seen.at;
    }
    known.alive_at = std::max(known.alive_at, alive_at(seen));
    if (known.alive_at > seen.at + max_delay_of_news) {
        return known;
    }
    if (known.alive_at > known.at + max_delay_of_news) {
        forget_before(seen.start, known.alive_at);
        known.at = seen.at;
        known.candidates.clear();
    }
    known.at = std::min(known.at, seen.at);
    for (crash_candidate const& candidate : seen.candidates) {
        add_once(known.candidates, seen.part_of(candidate));
        add(seen, candidate);
    }
    return known;
}

void crash_table::refute(crash_refutation const& refutation)
{
    auto const found = m_crashes.find(refutation.start);
    if (found == m_crashes.end()) {
        return;
    }
    crash& known = found->second;
    known.refuted_at =
        std::max(known.refuted_at.value_or(refutation.at), refutation.at);
    auto const until = *known.refuted_at + max_delay_of_news;
    if (known.at <= until) {
        known.candidates.clear();
        forget_before(refutation.start, until + model::time_point::duration{1});
    }
}

void crash_table::add(upstream_crash const& seen,
                      crash_candidate const& candidate)
{
    shared_part const part = seen.part_of(candidate);
    if (m_parts.size() >= max_parts && !contains(part)) {
        forget_weakest();
    }
    evidence& against = m_parts[part];
    auto& list = against.sightings;
    auto const known =
        std::find_if(list.begin(), list.end(), [&seen](sighting const& item) {
            return item.start == seen.start;
        });
    if (known != list.end()) {
        known->at = std::min(known->at, seen.at);
        known->sent_at = std::max(known->sent_at, candidate.sent_at);
        known->has_begun = known->has_begun || candidate.has_begun;
        return;
    }
    auto const later =
        std::find_if(list.begin(), list.end(), [&seen](sighting const& item) {
            return item.at > seen.at;
        });
    list.insert(later,
                {seen.start,
                 seen.version,
                 seen.at,
                 candidate.sent_at,
                 candidate.has_begun});
    if (list.size() > max_sightings) {
        list.erase(list.begin());
    }
}

void crash_table::record_answer(part_answer const& answer)
{
    auto const found = m_parts.find(answer.part);
    if (found == m_parts.end()) {
        return;
    }
    auto& answers = found->second.answers;
    auto const known = std::find_if(
        answers.begin(), answers.end(), [&answer](last_answer const& item) {
            return item.version == answer.version;
        });
    if (known == answers.end()) {
        answers.push_back({answer.version, answer.began_at});
        return;
    }
    known->began_at = std::max(known->began_at, answer.began_at);
}

bool crash_table::trust(shared_part const& part)
{
    auto const found = m_parts.find(part);
    if (found == m_parts.end() || found->second.is_trusted) {
        return false;
    }
    found->second.is_trusted = true;
    return true;
}

bool crash_table::is_trusted(shared_part const& part) const
{
    auto const found = m_parts.find(part);
    return found != m_parts.end() && found->second.is_trusted;
}

std::optional<model::time_point>
crash_table::answered_at(shared_part const& part, std::uint64_t version) const
{
    auto const found = m_parts.find(part);
    if (found == m_parts.end()) {
        return std::nullopt;
    }
    for (last_answer const& item : found->second.answers) {
        if (item.version == version) {
            return item.began_at;
        }
    }
    return std::nullopt;
}

bool crash_table::counts(evidence const& against,
                         sighting const& item,
                         is_explained const& explained) const
{
    auto const known = m_crashes.find(item.start);
    return !is_answered(against, item)
           && (known == m_crashes.end() || !explained(known->second));
}

std::vector<crash_table::sighting>
crash_table::in_sequence(shared_part const& part,
                         is_explained const& explained) const
{
    std::vector<sighting> list;
    auto const found = m_parts.find(part);
    if (found == m_parts.end()) {
        return list;
    }
    for (sighting const& item : found->second.sightings) {
        bool const is_independent =
            list.empty()
            || (item.sent_at > list.back().at
                && (item.has_begun
                    || item.at - list.back().at >= m_limits.min_between));
        if (is_independent && counts(found->second, item, explained)) {
            list.push_back(item);
        }
    }
    return list;
}

crash_counts crash_table::counts_of(shared_part const& part,
                                    is_explained const& explained) const
{
    crash_counts result;
    auto const found = m_parts.find(part);
    if (found == m_parts.end()) {
        return result;
    }
    evidence const& against = found->second;
    model::time_point first{};
    for (sighting const& item : against.sightings) {
        if (!counts(against, item, explained)) {
            continue;
        }
        first = result.in_all++ == 0 ? item.at : first;
        result.span =
            std::chrono::duration_cast<model::milliseconds>(item.at - first);
    }
    result.in_sequence = in_sequence(part, explained).size();
    result.without = crashes_without(part, against);
    result.is_trusted = against.is_trusted;
    return result;
}

bool crash_table::has_crash_of(parts const& all) const
{
    return std::any_of(
        m_crashes.begin(), m_crashes.end(), [&all](auto const& item) {
            return includes(item.second.candidates, all);
        });
}

} // namespace caperjunction::routing
