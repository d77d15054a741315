#include "routing/poison_parts.hpp"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace caperjunction::routing {
namespace {

using parts = poison_parts::parts;

} // namespace

// A verdict that was found without knowing that its part had been answered
// needs more evidence.
void poison_parts::trust(shared_part const& part)
{
    if (!m_crashes.trust(part)) {
        return;
    }
    for (std::size_t index = m_verdicts.size(); index-- > 0;) {
        part_verdict verdict = m_verdicts[index];
        if (verdict.is_trusted || !contains(verdict.parts, part)) {
            continue;
        }
        if (verdict.parts.size() > 1) {
            std::erase(m_verdicts[index].parts, part);
            continue;
        }
        m_verdicts.erase(m_verdicts.begin()
                         + static_cast<std::ptrdiff_t>(index));
        verdict.is_trusted = true;
        if (is_cause(part)) {
            m_verdicts.push_back(std::move(verdict));
        } else if (on_released) {
            on_released(verdict);
        }
    }
}

std::vector<part_answer> poison_parts::record_answer(parts const& answered,
                                                     std::uint64_t version,
                                                     model::time_point began_at)
{
    std::vector<part_answer> news;
    for (shared_part const& part : answered) {
        part_answer const answer{part, version, began_at};
        bool const is_request = part.kind == part_kind::request;
        if (!is_request) {
            m_answered.record(answer);
        }
        if (!m_crashes.contains(part)) {
            continue;
        }
        if (is_request) {
            // Requests are too many to remember those that were never in flight
            // at a crash.
            trust(part);
        }
        std::size_t const before = in_sequence(part).size();
        bool const was_in_verdict = is_in_verdict(part);
        apply(answer);
        if (in_sequence(part).size() < before
            || was_in_verdict != is_in_verdict(part)) {
            news.push_back(answer);
        }
    }
    return news;
}

void poison_parts::record_answer(part_answer const& answer)
{
    trust(answer.part);
    apply(answer);
}

// An answer that began before a crash says nothing of what has changed since.
void poison_parts::apply(part_answer const& answer)
{
    m_crashes.record_answer(answer);
    m_trials.erase(answer.part);
    for (std::size_t index = m_verdicts.size(); index-- > 0;) {
        part_verdict& verdict = m_verdicts[index];
        bool const is_wrong = contains(verdict.parts, answer.part)
                              && verdict.holds_for(answer.version)
                              && answer.began_at > verdict.last_crash;
        if (!is_wrong) {
            continue;
        }
        if (verdict.parts.size() > 1) {
            std::erase(verdict.parts, answer.part);
            continue;
        }
        std::erase(verdict.versions, answer.version);
        if (verdict.versions.empty()) {
            end_verdict(index);
        }
    }
}

} // namespace caperjunction::routing
