#include "routing/poison_parts.hpp"

#include <algorithm>

namespace caperjunction::routing {

std::vector<part_answer>
poison_parts::answers_for(upstream_crash const& crash) const
{
    std::vector<part_answer> list;
    for (crash_candidate const& candidate : crash.candidates) {
        auto const last =
            m_answered.find(crash.part_of(candidate), crash.version);
        if (!candidate.is_trusted && last) {
            list.push_back(*last);
        }
    }
    return list;
}

// Answers since the last crash, and, against a verdict on a part that its
// finders have never seen answered, any answer.
std::vector<part_answer>
poison_parts::answers_against(part_verdict const& told) const
{
    std::vector<part_answer> answers;
    bool const is_on_one = told.parts.size() == 1;
    for (shared_part const& part : told.parts) {
        for (std::uint64_t const version : told.versions) {
            auto const since = m_crashes.answered_at(part, version);
            auto const last = m_answered.find(part, version);
            if (since && *since > told.last_crash) {
                answers.push_back({part, version, *since});
            } else if (is_on_one && !told.is_trusted && last
                       && !is_cause(part)) {
                answers.push_back(*last);
            }
        }
    }
    return answers;
}

// Two hosts have found different causes of the same crashes. Only requests with
// all of these parts are kept back then: others tell which of them it is.
bool poison_parts::combine(part_verdict const& told)
{
    for (part_verdict& known : m_verdicts) {
        parts const all = union_of(known.parts, told.parts);
        if (!m_crashes.has_crash_of(all) || is_cause(told.parts.front())) {
            continue;
        }
        for (std::uint64_t const version : told.versions) {
            known.add_version(version);
        }
        known.last_crash = std::max(known.last_crash, told.last_crash);
        known.is_trusted = known.is_trusted && told.is_trusted;
        change(known, all);
        return true;
    }
    return false;
}

std::vector<part_answer> poison_parts::merge(part_verdict const& told)
{
    auto answers = answers_against(told);
    if (!answers.empty() || told.parts.empty()) {
        return answers;
    }
    for (part_verdict& known : m_verdicts) {
        bool const is_narrower = includes(told.parts, known.parts);
        if (!is_narrower && !includes(known.parts, told.parts)) {
            continue;
        }
        known.last_crash = std::max(known.last_crash, told.last_crash);
        known.seen_at = std::max(known.seen_at, told.seen_at);
        known.failed_probes = std::max(known.failed_probes, told.failed_probes);
        known.is_trusted = known.is_trusted || told.is_trusted;
        for (std::uint64_t const version : told.versions) {
            known.add_version(version);
        }
        if (!is_narrower) {
            change(known, told.parts);
        }
        return {};
    }
    if (!combine(told)) {
        add_verdict(told);
    }
    return {};
}

} // namespace caperjunction::routing
