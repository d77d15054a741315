#include "decide/engine_state.hpp"

#include <algorithm>
#include <cmath>

namespace caperjunction::decide {

namespace {

double to_ms(model::milliseconds span)
{
    return static_cast<double>(span.count());
}

// An engine that doesn't say its slots starts small and widens as it proves
// fast: too small only queues here, too large makes all its work late.
constexpr double first_bound = 8.0;
constexpr double least_bound = 2.0;
constexpr double most_bound = 512.0;
// Requests that each host risks on an engine that was slow or away.
constexpr std::uint32_t most_probes = 2;
// The bound narrows fast and widens slowly: beyond the target every request
// of the engine is late, below it some capacity lies idle.
constexpr double narrow_above = 0.92;
constexpr double widen_below = 0.85;
constexpr double narrow_factor = 0.95;
constexpr double widen_step = 0.5;
// A batch shows its new speed only after some steps; moving again before
// that answers the same evidence twice.
constexpr model::milliseconds narrow_pause{500};
constexpr model::milliseconds widen_pause{200};
// Reports are worth little once the requests they counted have ended.
constexpr double report_horizon_seconds = 2.0;
constexpr model::milliseconds history_step{100};
// Fixed part of a first token: one step of the batch.
constexpr double step_ms = 25.0;

} // namespace

engine_state::engine_state(std::string engine_name)
    : name(std::move(engine_name))
{
}

void engine_state::describe(model::engine const& listed, bool in_own_region)
{
    own_region = in_own_region;
    if (m_bound == 0.0 || slots != listed.slots) {
        m_bound = listed.slots > 0 ? listed.slots : first_bound;
    }
    slots = listed.slots;
    if (listed.leaving) {
        health = engine_health::leaving;
    } else if (health == engine_health::leaving) {
        health = engine_health::good;
    }
}

void engine_state::dispatched(model::request_id id,
                              double prefill_tokens,
                              model::time_point now)
{
    remember(now);
    flights.push_back(id);
    allowance -= 1.0;
    m_pending_prefill += prefill_tokens;
}

void engine_state::first_token(double prefill_tokens)
{
    m_pending_prefill = std::max(0.0, m_pending_prefill - prefill_tokens);
}

void engine_state::between_tokens(model::seconds gap,
                                  model::milliseconds tightest_target,
                                  model::time_point now)
{
    gap_ms.add(gap.count() * 1000.0);
    double const target = std::max(1.0, to_ms(tightest_target));
    double const ratio = gap_ms.value_or(0.0) / target;
    if (ratio > narrow_above) {
        narrow(now);
    } else if (ratio < widen_below && outstanding(now) + 1.0 >= m_bound) {
        widen(now);
    }
}

void engine_state::ended(model::request_id id,
                         double pending_prefill,
                         model::time_point now)
{
    remember(now);
    auto const found = std::find(flights.begin(), flights.end(), id);
    if (found != flights.end()) {
        *found = flights.back();
        flights.pop_back();
        // Nobody else knows yet that this place is free.
        allowance = std::max(0.0, allowance) + 1.0;
    }
    m_pending_prefill =
        flights.empty() ? 0.0
                        : std::max(0.0, m_pending_prefill - pending_prefill);
}

void engine_state::report(engine_report const& report)
{
    if (m_has_report && report.taken <= m_report_taken) {
        return;
    }
    m_has_report = true;
    m_report_taken = report.taken;
    m_reported = static_cast<double>(report.running) + report.waiting;
    m_kv_used = report.kv_used;
    m_local_at_report = local_at(report.taken);
}

double engine_state::outstanding(model::time_point now) const
{
    // A report counts the work of all hosts but is late: what this host had
    // on the engine then is taken out and what it has now put in. The rest
    // belongs to others, and counts for less as the report ages. Without
    // this, hosts chase each other onto the engine that last looked idle.
    double others = peer_requests;
    if (m_has_report) {
        double const age =
            std::max(0.0, model::seconds(now - m_report_taken).count());
        double const reported = std::max(0.0, m_reported - m_local_at_report);
        others = std::max(others,
                          reported * std::exp(-age / report_horizon_seconds));
    }
    return local() + others;
}

double engine_state::bound() const
{
    bool const open =
        health == engine_health::good || health == engine_health::probing;
    return open ? m_bound : 0.0;
}

void engine_state::add_peer_prefill(double tokens, model::time_point now)
{
    m_peer_prefill = std::max(0.0, m_peer_prefill + tokens);
    m_peer_prefill_told = now;
}

double engine_state::pending_prefill(double rate, model::time_point now) const
{
    // One giant prompt that another host has sent holds up a short one by a
    // second, however small the batch; it is shorter by what was computed
    // since the digest.
    double const age = model::seconds(now - m_peer_prefill_told).count();
    return m_pending_prefill + std::max(0.0, m_peer_prefill - rate * age);
}

bool engine_state::takes_probe() const
{
    return health == engine_health::probing && local() < most_probes;
}

model::milliseconds engine_state::predict_first_token(
    double uncached_tokens, double prefill_rate, model::time_point now) const
{
    double const ahead = pending_prefill(prefill_rate, now) + uncached_tokens;
    double const compute = ahead / prefill_rate * 1000.0;
    double const full = std::max(1.0, bound());
    double const over = std::max(0.0, outstanding(now) + 1.0 - full);
    // Beyond its bound a request waits for one of the others to end.
    double const wait = over * gap_ms.value_or(step_ms) * 4.0;
    double const step = gap_ms.value_or(step_ms);
    return model::milliseconds(
        static_cast<std::int64_t>(compute + wait + step));
}

void engine_state::remember(model::time_point now)
{
    moment& last = m_history[(m_history_end + history - 1) % history];
    if (now - last.at < history_step) {
        return;
    }
    m_history[m_history_end] = {now, local()};
    m_history_end = (m_history_end + 1) % history;
}

std::uint32_t engine_state::local_at(model::time_point when) const
{
    std::uint32_t best = local();
    model::time_point earliest = model::time_point::max();
    for (moment const& past : m_history) {
        if (past.at >= when && past.at < earliest) {
            earliest = past.at;
            best = past.local;
        }
    }
    return best;
}

void engine_state::widen(model::time_point now)
{
    if (now - m_bound_moved < widen_pause) {
        return;
    }
    double const most = slots > 0 ? slots : most_bound;
    m_bound = std::min(most, m_bound + widen_step);
    m_bound_moved = now;
}

void engine_state::narrow(model::time_point now)
{
    if (now - m_bound_moved < narrow_pause) {
        return;
    }
    m_bound = std::max(least_bound, m_bound * narrow_factor);
    m_bound_moved = now;
}

} // namespace caperjunction::decide
