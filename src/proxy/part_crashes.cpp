#include "proxy/part_crashes.hpp"

#include "proxy/part_trials.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

namespace caperjunction::proxy {
namespace {

/// Time in which all connections of a crash break.
constexpr model::milliseconds crash_window{1'000};
/// Candidates of one crash that a host tells of.
constexpr std::size_t max_candidates = 128;

void tell(relay_context& context, part_message const& news)
{
    if (context.tell_parts) {
        context.tell_parts(news);
    }
}

/// Keeps the candidates that were in flight at crashes before, then those that
/// were never answered.
void drop_weakest(relay_context const& context, routing::upstream_crash& crash)
{
    auto const rank = [&](routing::crash_candidate const& candidate) {
        std::size_t const known =
            context.parts.crashes_of(crash.part_of(candidate));
        return std::pair(candidate.is_trusted, -static_cast<int>(known));
    };
    std::stable_sort(crash.candidates.begin(),
                     crash.candidates.end(),
                     [&rank](auto const& a, auto const& b) {
                         return rank(a) < rank(b);
                     });
    crash.candidates.resize(max_candidates);
}

void add_candidates(relay_context const& context,
                    routing::upstream_crash& crash,
                    broken_attempt const& attempt)
{
    for (routing::shared_part const& part : attempt.parts) {
        bool const is_request = part.kind == routing::part_kind::request;
        bool const has_begun =
            attempt.has_begun || (is_request && attempt.has_connected);
        auto const known = std::find_if(
            crash.candidates.begin(),
            crash.candidates.end(),
            [&part](auto const& candidate) {
                return candidate.id == part.id && candidate.kind == part.kind;
            });
        if (known != crash.candidates.end()) {
            known->sent_at = std::max(known->sent_at, attempt.sent_at);
            known->has_begun = known->has_begun || has_begun;
            continue;
        }
        bool const is_trusted = context.parts.is_trusted(part, crash.version);
        crash.candidates.push_back(
            {part.id, attempt.sent_at, is_trusted, has_begun, part.kind});
    }
    if (crash.candidates.size() > max_candidates) {
        drop_weakest(context, crash);
    }
}

broken_upstream describe(routing::upstream_state const& state)
{
    broken_upstream result;
    result.id = state.description.id;
    result.service = state.description.service;
    result.crash.start = routing::start_key(state.description);
    result.crash.service = state.software.service;
    result.crash.version = state.software.version;
    return result;
}

void record_crash(relay_context& context, routing::upstream_crash const& crash)
{
    context.parts.record_crash(crash);
    part_message news;
    news.crashes = {crash};
    tell(context, news);
}

/// Records that an upstream has crashed while attempts were unanswered there.
void record_silent_end(relay_context& context,
                       routing::upstream_state const& upstream)
{
    broken_upstream ended = describe(upstream);
    ended.has_crashed = true;
    for (broken_attempt const& attempt :
         context.unanswered.take(ended.crash.start, model::time_point{})) {
        ended.crash.at = std::max(ended.crash.at, attempt.sent_at);
        add_candidates(context, ended.crash, attempt);
    }
    if (context.on_crashed) {
        context.on_crashed(ended);
    }
    record_crash(context, ended.crash);
}

void conclude(relay_context& context, std::uint64_t start, bool has_crashed)
{
    auto const found = context.broken_upstreams.find(start);
    if (found == context.broken_upstreams.end()) {
        return;
    }
    broken_upstream& broken = found->second;
    if (has_crashed) {
        broken.has_crashed = true;
        // Callers may have left just before.
        for (broken_attempt const& attempt :
             context.unanswered.take(start, broken.crash.at - crash_window)) {
            add_candidates(context, broken.crash, attempt);
        }
        if (context.on_crashed) {
            context.on_crashed(broken);
        }
        record_crash(context, broken.crash);
        part_message question;
        question.checks = {start};
        tell(context, question);
        return;
    }
    auto const tried = std::move(broken.tried);
    context.broken_upstreams.erase(found);
    end_trial(context, tried);
}

/// Finds out whether the upstream refuses connections.
void check(relay_context& context,
           broken_attempt const& attempt,
           std::uint64_t start)
{
    // One that doesn't answer may be alive behind a lost link. Whether time is
    // up is told by a timer: after a pause of this process it runs behind the
    // answer that lies in the socket.
    auto const timeout = context.settings.connect_timeout;
    auto const is_late = std::make_shared<bool>(false);
    auto const timer =
        context.loop.after(timeout - model::milliseconds{1}, [is_late] {
            *is_late = true;
        });
    context.pool.probe(
        attempt.upstream,
        attempt.peer,
        timeout,
        [&context, start, timer, is_late](std::optional<answer_fault> fault) {
            context.loop.cancel(timer);
            bool const is_refused =
                fault == answer_fault::unreachable && !*is_late;
            conclude(context, start, is_refused);
        });
}

} // namespace

void record_broken_attempt(relay_context& context,
                           broken_attempt const& attempt)
{
    auto const now = context.loop.now();
    std::erase_if(context.broken_upstreams, [now](auto const& item) {
        return now - item.second.crash.at > crash_window
               && item.second.has_crashed;
    });
    std::uint64_t const start =
        routing::start_key(attempt.upstream->description);
    auto const [found, is_new] =
        context.broken_upstreams.try_emplace(start, broken_upstream{});
    broken_upstream& broken = found->second;
    if (!is_new && attempt.sent_at >= broken.crash.at) {
        // Sent on a kept connection after the crash: it never ran.
        end_trial(context, attempt.tried);
        return;
    }
    if (is_new) {
        broken = describe(*attempt.upstream);
        broken.crash.at = now;
    }
    add_candidates(context, broken.crash, attempt);
    broken.tried.insert(
        broken.tried.end(), attempt.tried.begin(), attempt.tried.end());
    if (is_new) {
        check(context, attempt, start);
    } else if (broken.has_crashed) {
        record_crash(context, broken.crash);
    }
}

void record_ended_upstreams(relay_context& context)
{
    context.unanswered.expire(
        context.loop.now(),
        [](broken_attempt const& attempt, model::time_point ended_at) {
            // It has answered others since.
            return attempt.upstream->received_at > ended_at;
        });
    std::map<std::uint64_t, routing::upstream_ptr> ended;
    context.unanswered.each([&](broken_attempt const& attempt) {
        routing::upstream_state const& at = *attempt.upstream;
        auto const now_known = context.directory.find(at.description.id);
        bool const is_gone = now_known != attempt.upstream;
        bool const was_planned = at.is_leaving || at.description.draining;
        if (is_gone && !was_planned) {
            ended[routing::start_key(at.description)] = attempt.upstream;
        }
    });
    for (auto const& [start, upstream] : ended) {
        record_silent_end(context, *upstream);
    }
}

void record_unanswered_at(relay_context& context,
                          routing::upstream_crash const& seen)
{
    auto const attempts =
        context.unanswered.take(seen.start, seen.at - crash_window);
    if (attempts.empty()) {
        return;
    }
    routing::upstream_crash own = seen;
    own.candidates.clear();
    for (broken_attempt const& attempt : attempts) {
        add_candidates(context, own, attempt);
    }
    record_crash(context, own);
}

bool awaits_result(relay_context const& context,
                   std::vector<routing::shared_part> const& parts)
{
    auto const is_among = [&parts](routing::upstream_crash const& crash) {
        return std::any_of(crash.candidates.begin(),
                           crash.candidates.end(),
                           [&](routing::crash_candidate const& candidate) {
                               return routing::contains(
                                   parts, crash.part_of(candidate));
                           });
    };
    return std::any_of(context.broken_upstreams.begin(),
                       context.broken_upstreams.end(),
                       [&is_among](auto const& item) {
                           return !item.second.has_crashed
                                  && is_among(item.second.crash);
                       });
}

void record_answered_parts(relay_context& context,
                           std::vector<routing::shared_part> const& parts,
                           std::uint64_t version,
                           model::time_point began_at)
{
    part_message news;
    news.answers = context.parts.record_answer(parts, version, began_at);
    if (!news.answers.empty()) {
        tell(context, news);
    }
}

} // namespace caperjunction::proxy
