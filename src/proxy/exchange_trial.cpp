#include "proxy/exchange.hpp"
#include "proxy/part_crashes.hpp"
#include "proxy/part_trials.hpp"

#include "routing/usable_upstreams.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace caperjunction::proxy {
namespace {

using routing::part_judgement;

/// Time in which all hosts hear of a claim.
constexpr model::milliseconds claim_delay{120};

} // namespace

std::vector<routing::shared_part> exchange::suspects()
{
    return m_context.parts.suspects_among(
        shared_parts(), m_pick.to->software.version, m_was_broken);
}

/// Whether the request may go on beside a trial of what it shares.
bool exchange::may_overtake()
{
    // A copy that crashes its upstream has done so by then.
    constexpr model::milliseconds max_wait = claim_delay + crash_delay;
    return m_trial.waits_since
           && m_context.loop.now() - *m_trial.waits_since >= max_wait
           && m_context.parts.may_overtake(suspects());
}

trial_step exchange::next_trial_step()
{
    if (m_trial.claim != 0) {
        if (m_context.parts.holds_claim(m_trial.parts, m_trial.claim)) {
            return is_trial_possible() ? trial_step::run : trial_step::wait;
        }
        m_trial.claim = 0;
        m_trial.parts.clear();
    }
    auto const judged = judge_parts(m_pick.to->software);
    if (judged == part_judgement::free || may_overtake()) {
        return trial_step::none;
    }
    if (judged == part_judgement::awaits_trial || !is_trial_possible()) {
        return trial_step::wait;
    }
    return m_context.parts.needs_claim(suspects()) ? trial_step::claim
                                                   : trial_step::run;
}

// Several hosts may have a copy at the same moment. Only one of them runs.
void exchange::claim_trial()
{
    auto const now = m_context.loop.now();
    m_trial.waits_since = m_trial.waits_since.value_or(now);
    m_trial.parts = suspects();
    std::uint64_t const random = XXH3_64bits_withSeed(
        m_metadata.id.data(),
        m_metadata.id.size(),
        static_cast<std::uint64_t>(now.time_since_epoch().count()));
    m_trial.claim = static_cast<std::uint32_t>(
        1 + random % std::numeric_limits<std::uint32_t>::max());
    proxy::claim_trial(m_context, m_trial.parts, m_trial.claim);
    leave_host_queue();
    run_later(claim_delay, [this] {
        place();
    });
}

// A trial that crashes its upstream takes the requests there with it. Of the
// upstreams with the fewest, hosts choose different ones: two trials at one
// share their fate.
routing::upstream_state const* exchange::upstream_for_trial()
{
    auto const now = m_context.loop.now();
    routing::pick ignored;
    auto list =
        routing::usable_upstreams(m_context.directory.of_service(m_service),
                                  pick_request(),
                                  now,
                                  ignored);
    std::erase_if(list, [&](routing::upstream_ptr const& item) {
        return item->software != m_pick.to->software
               || m_context.parts.has_trial_at(
                   routing::start_key(item->description), now);
    });
    if (list.empty()) {
        return nullptr;
    }
    std::sort(list.begin(), list.end(), [](auto const& a, auto const& b) {
        return a->running() < b->running();
    });
    std::size_t const quiet = std::max<std::size_t>(1, list.size() / 3);
    std::uint64_t const random =
        XXH3_64bits(m_metadata.id.data(), m_metadata.id.size());
    return list[random % quiet].get();
}

// A repeat may come before it is known what its last attempt has done.
bool exchange::is_trial_possible()
{
    auto const list = suspects();
    if (awaits_result(m_context, list)) {
        return false;
    }
    if (m_context.parts.may_overtake(list)) {
        return true;
    }
    m_trial.only_upstream = upstream_for_trial();
    if (m_trial.only_upstream == nullptr) {
        return false;
    }
    m_pick = choose();
    m_trial.only_upstream = nullptr;
    return m_pick.to != nullptr;
}

void exchange::begin_trial()
{
    m_trial.parts = suspects();
    proxy::begin_trial(m_context, m_trial.parts, *m_pick.to, m_trial.claim);
    if (m_context.on_trial) {
        m_context.on_trial(m_metadata.id, m_trial.parts);
    }
}

void exchange::end_trial()
{
    auto const claim = std::exchange(m_trial.claim, 0);
    auto const tried = std::exchange(m_trial.parts, {});
    if (claim == 0 || m_context.parts.holds_claim(tried, claim)) {
        proxy::end_trial(m_context, tried);
    }
}

} // namespace caperjunction::proxy
