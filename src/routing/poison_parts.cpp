#include "routing/poison_parts.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace caperjunction::routing {
namespace {

constexpr std::size_t max_parts = 4'096;
constexpr std::size_t max_crashes = 512;
constexpr std::size_t max_sightings = 16;
constexpr std::size_t max_verdicts = 64;
/// 16,384 trusted parts in all take about 1 MB.
constexpr std::size_t max_trusted = 8'192;
constexpr std::uint32_t max_doublings = 6;

bool includes(std::vector<shared_part> const& all,
              std::vector<shared_part> const& some)
{
    return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

bool contains(std::vector<shared_part> const& all, shared_part const& part)
{
    return std::binary_search(all.begin(), all.end(), part);
}

bool contains(std::vector<std::uint64_t> const& all, std::uint64_t value)
{
    return std::find(all.begin(), all.end(), value) != all.end();
}

void add_once(std::vector<std::uint64_t>& to, std::uint64_t value)
{
    if (!contains(to, value)) {
        to.push_back(value);
    }
}

void add_once(std::vector<shared_part>& to, shared_part const& part)
{
    auto const place = std::lower_bound(to.begin(), to.end(), part);
    if (place == to.end() || *place != part) {
        to.insert(place, part);
    }
}

} // namespace

poison_parts::poison_parts(poison_limits const& limits)
    : m_limits(limits)
{
}

void poison_parts::record_crash(upstream_crash const& crash)
{
    if (m_crash_order.size() >= max_crashes) {
        m_crashes.erase(m_crash_order.front());
        m_crash_order.pop_front();
    }
    auto const [found, is_new] = m_crashes.try_emplace(
        crash.start, crash_record{crash.at, crash.version, {}});
    crash_record& known = found->second;
    if (is_new) {
        m_crash_order.push_back(crash.start);
    }
    known.at = std::min(known.at, crash.at);
    for (crash_candidate const& candidate : crash.candidates) {
        shared_part const part{crash.service, candidate.id};
        add_once(known.candidates, part);
        add_candidate(crash, candidate);
        // One that was sent since is a trial of its own.
        auto const trial = m_trials.find(part);
        if (trial != m_trials.end() && trial->second <= crash.at) {
            m_trials.erase(trial);
        }
    }
    if (!merge_into_verdicts(known)) {
        find_cause(known);
    }
}

void poison_parts::add_candidate(upstream_crash const& crash,
                                 crash_candidate const& candidate)
{
    shared_part const part{crash.service, candidate.id};
    if (m_parts.size() >= max_parts && m_parts.count(part) == 0) {
        return;
    }
    evidence& against = m_parts[part];
    against.is_trusted = against.is_trusted || candidate.is_trusted
                         || is_trusted(part, crash.version);
    auto& list = against.sightings;
    auto const known =
        std::find_if(list.begin(), list.end(), [&crash](sighting const& item) {
            return item.start == crash.start;
        });
    if (known != list.end()) {
        known->at = std::min(known->at, crash.at);
        known->sent_at = std::max(known->sent_at, candidate.sent_at);
        known->has_begun = known->has_begun || candidate.has_begun;
        return;
    }
    auto const later =
        std::find_if(list.begin(), list.end(), [&crash](sighting const& item) {
            return item.at > crash.at;
        });
    list.insert(later,
                {crash.start,
                 crash.version,
                 crash.at,
                 candidate.sent_at,
                 candidate.has_begun});
    if (list.size() > max_sightings) {
        list.erase(list.begin());
    }
}

// Returns whether the crash is explained by parts that are kept back already:
// their requests were on the way, or were sent by a host that didn't know.
bool poison_parts::merge_into_verdicts(crash_record const& crash)
{
    bool is_explained = false;
    for (part_verdict& verdict : m_verdicts) {
        if (!includes(crash.candidates, verdict.parts)) {
            continue;
        }
        is_explained = true;
        bool const was_probe =
            crash.at - verdict.last_crash >= m_limits.probe_delay;
        verdict.failed_probes += was_probe ? 1 : 0;
        verdict.last_crash = std::max(verdict.last_crash, crash.at);
        add_once(verdict.versions, crash.version);
    }
    return is_explained;
}

void poison_parts::find_cause(crash_record const& crash)
{
    parts causes;
    std::size_t most = 0;
    bool are_trusted = true;
    for (shared_part const& part : crash.candidates) {
        auto const found = m_parts.find(part);
        if (found == m_parts.end()) {
            continue;
        }
        evidence const& against = found->second;
        std::size_t const count = count_crashes(against);
        for (part_verdict& verdict : m_verdicts) {
            if (contains(verdict.parts, part)
                && count >= trial_threshold(against, false)) {
                narrow(verdict, {part});
                return;
            }
        }
        std::size_t const threshold =
            against.is_trusted ? m_limits.trusted_verdict : m_limits.verdict;
        bool const is_weaker = against.is_trusted != are_trusted
                                   ? against.is_trusted
                                   : count < most;
        if (count < threshold || (is_weaker && !causes.empty())) {
            continue;
        }
        if (count != most || against.is_trusted != are_trusted) {
            causes.clear();
        }
        causes.push_back(part);
        most = count;
        are_trusted = against.is_trusted;
    }
    if (causes.empty()) {
        return;
    }
    part_verdict verdict;
    verdict.parts = causes;
    for (sighting const& item : counted(m_parts.at(causes.front()))) {
        add_once(verdict.versions, item.version);
        verdict.crashes.push_back(item.start);
    }
    verdict.last_crash = crash.at;
    verdict.seen_at = crash.at;
    add_verdict(std::move(verdict));
}

void poison_parts::narrow(part_verdict& verdict, parts const& to)
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
        m_parts.try_emplace(part);
    }
    m_verdicts.push_back(std::move(verdict));
    if (on_kept_back) {
        on_kept_back(m_verdicts.back());
    }
}

std::vector<part_answer>
poison_parts::record_answer(parts const& answered_parts,
                            std::uint64_t version,
                            model::time_point began_at)
{
    std::vector<part_answer> news;
    for (shared_part const& part : answered_parts) {
        trust(part, version, began_at);
        auto const found = m_parts.find(part);
        if (found == m_parts.end()) {
            continue;
        }
        auto const before = counted(found->second);
        apply_answer({part, version, began_at});
        if (counted(found->second).size() < before.size()) {
            news.push_back({part, version, began_at});
        }
    }
    return news;
}

void poison_parts::record_answer(part_answer const& answer)
{
    auto const found = m_parts.find(answer.part);
    if (found != m_parts.end()) {
        found->second.is_trusted = true;
        apply_answer(answer);
    }
}

void poison_parts::apply_answer(part_answer const& answer)
{
    evidence& against = m_parts[answer.part];
    auto const known = std::find_if(against.answers.begin(),
                                    against.answers.end(),
                                    [&answer](answered const& item) {
                                        return item.version == answer.version;
                                    });
    if (known == against.answers.end()) {
        against.answers.push_back({answer.version, answer.began_at});
    } else {
        known->began_at = std::max(known->began_at, answer.began_at);
    }
    release(answer.part, answer.version, answer.began_at);
}

// An answer that began before a crash says nothing of what has changed since.
void poison_parts::release(shared_part const& part,
                           std::uint64_t version,
                           model::time_point began_at)
{
    for (auto item = m_verdicts.begin(); item != m_verdicts.end();) {
        part_verdict& verdict = *item;
        bool const is_wrong = contains(verdict.parts, part)
                              && contains(verdict.versions, version)
                              && began_at > verdict.last_crash;
        if (!is_wrong) {
            ++item;
            continue;
        }
        if (verdict.parts.size() > 1) {
            std::erase(verdict.parts, part);
            ++item;
            continue;
        }
        std::erase(verdict.versions, version);
        if (!verdict.versions.empty()) {
            ++item;
            continue;
        }
        part_verdict const ended = verdict;
        item = m_verdicts.erase(item);
        if (on_released) {
            on_released(ended);
        }
    }
}

void poison_parts::trust(shared_part const& part,
                         std::uint64_t version,
                         model::time_point began_at)
{
    if (m_trusted.size() >= max_trusted) {
        m_trusted_before = std::exchange(m_trusted, {});
    }
    m_trusted[part] = {version, began_at};
}

poison_parts::answered const*
poison_parts::last_answer(shared_part const& part) const
{
    for (trust_set const* const set : {&m_trusted, &m_trusted_before}) {
        auto const found = set->find(part);
        if (found != set->end()) {
            return &found->second;
        }
    }
    return nullptr;
}

bool poison_parts::is_trusted(shared_part const& part,
                              std::uint64_t version) const
{
    answered const* const last = last_answer(part);
    return last != nullptr && last->version == version;
}

std::vector<part_answer>
poison_parts::answers_for(upstream_crash const& crash) const
{
    std::vector<part_answer> list;
    for (crash_candidate const& candidate : crash.candidates) {
        shared_part const part{crash.service, candidate.id};
        answered const* const last = last_answer(part);
        if (!candidate.is_trusted && last != nullptr
            && last->version == crash.version) {
            list.push_back({part, last->version, last->began_at});
        }
    }
    return list;
}

std::vector<part_answer> poison_parts::merge(part_verdict const& told)
{
    std::vector<part_answer> answers;
    for (shared_part const& part : told.parts) {
        auto const found = m_parts.find(part);
        if (found == m_parts.end()) {
            continue;
        }
        for (answered const& item : found->second.answers) {
            if (contains(told.versions, item.version)
                && item.began_at > told.last_crash) {
                answers.push_back({part, item.version, item.began_at});
            }
        }
    }
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
        for (std::uint64_t const version : told.versions) {
            add_once(known.versions, version);
        }
        if (!is_narrower) {
            narrow(known, told.parts);
        }
        return {};
    }
    add_verdict(told);
    return {};
}

bool poison_parts::is_explained(std::uint64_t start) const
{
    auto const crash = m_crashes.find(start);
    return crash != m_crashes.end()
           && std::any_of(m_verdicts.begin(),
                          m_verdicts.end(),
                          [&crash](part_verdict const& verdict) {
                              return includes(crash->second.candidates,
                                              verdict.parts);
                          });
}

// Crashes at requests that were sent before the last one counted are not
// independent of it: a zone that is lost takes all of them.
std::vector<poison_parts::sighting>
poison_parts::counted(evidence const& against) const
{
    std::vector<sighting> list;
    for (sighting const& item : against.sightings) {
        bool const is_answered =
            std::any_of(against.answers.begin(),
                        against.answers.end(),
                        [&item](answered const& answer) {
                            return answer.version == item.version
                                   && answer.began_at >= item.at;
                        });
        bool const is_independent =
            list.empty()
            || (item.sent_at > list.back().at
                && (item.has_begun
                    || item.at - list.back().at >= m_limits.min_between));
        if (!is_answered && is_independent && !is_explained(item.start)) {
            list.push_back(item);
        }
    }
    return list;
}

std::size_t poison_parts::count_crashes(evidence const& against) const
{
    return counted(against).size();
}

std::size_t poison_parts::trial_threshold(evidence const& against,
                                          bool is_repeat) const
{
    if (against.is_trusted) {
        return m_limits.trusted_trial;
    }
    return is_repeat ? 1 : m_limits.trial;
}

bool poison_parts::is_suspected(shared_part const& part, bool is_repeat) const
{
    auto const found = m_parts.find(part);
    return found != m_parts.end()
           && count_crashes(found->second)
                  >= trial_threshold(found->second, is_repeat);
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
        if (includes(requested, verdict.parts)
            && contains(verdict.versions, version)
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

poison_parts::parts poison_parts::suspects_among(parts const& requested,
                                                 std::uint64_t version,
                                                 bool is_repeat) const
{
    parts suspects;
    for (shared_part const& part : requested) {
        // The crash of a repeat may not be confirmed yet.
        bool const is_new = is_repeat && !is_trusted(part, version);
        if (is_new || is_suspected(part, is_repeat)
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
    auto const against = m_parts.find(part);
    bool const is_answered = against != m_parts.end()
                             && std::any_of(against->second.answers.begin(),
                                            against->second.answers.end(),
                                            [version](answered const& item) {
                                                return item.version == version;
                                            });
    return std::any_of(
        m_verdicts.begin(), m_verdicts.end(), [&](part_verdict const& verdict) {
            bool const is_here = contains(verdict.versions, version);
            return contains(verdict.parts, part) && (is_here || !is_answered);
        });
}

bool poison_parts::is_on_trial(parts const& suspects,
                               model::time_point now) const
{
    return std::any_of(
        suspects.begin(), suspects.end(), [&](shared_part const& part) {
            auto const trial = m_trials.find(part);
            return trial != m_trials.end()
                   && now - trial->second < m_limits.trial_timeout;
        });
}

void poison_parts::begin_trial(parts const& tried, model::time_point now)
{
    for (shared_part const& part : tried) {
        m_trials[part] = now;
    }
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
    return static_cast<std::size_t>(
        std::count_if(m_parts.begin(), m_parts.end(), [this](auto const& item) {
            return count_crashes(item.second)
                   >= trial_threshold(item.second, false);
        }));
}

void poison_parts::expire(model::time_point now)
{
    auto const is_old = [this, now](model::time_point at) {
        return now - at > m_limits.retention;
    };
    for (auto item = m_verdicts.begin(); item != m_verdicts.end();) {
        if (!is_old(std::max(item->seen_at, item->last_crash))) {
            ++item;
            continue;
        }
        part_verdict const ended = *item;
        item = m_verdicts.erase(item);
        if (on_released) {
            on_released(ended);
        }
    }
    for (auto& [part, against] : m_parts) {
        std::erase_if(against.sightings, [&](sighting const& item) {
            return is_old(item.at);
        });
    }
    std::erase_if(m_parts, [this](auto const& item) {
        return item.second.sightings.empty() && !is_in_verdict(item.first);
    });
    while (!m_crash_order.empty()
           && is_old(m_crashes.at(m_crash_order.front()).at)) {
        m_crashes.erase(m_crash_order.front());
        m_crash_order.pop_front();
    }
    std::erase_if(m_trials, [&](auto const& item) {
        return now - item.second >= m_limits.trial_timeout;
    });
}

} // namespace caperjunction::routing
