#include "decide/engine_state.hpp"

#include <algorithm>
#include <cmath>

namespace caperjunction::decide {

namespace {

double to_ms(model::milliseconds span)
{
    return static_cast<double>(span.count());
}

// An engine without listed slots starts with a small limit, which grows as long
// as the engine is fast. Too small a limit only causes queueing on this host;
// too large a limit makes all of the engine's requests late.
constexpr double initial_limit = 8.0;
constexpr double min_limit = 2.0;
constexpr double max_limit = 512.0;
// Requests that each host risks on an engine that was slow or lost.
constexpr std::uint32_t max_probes = 2;
// The limit decreases fast and increases slowly: above the target every request
// of the engine is late, below it only some capacity is idle.
constexpr double decrease_above = 0.92;
constexpr double increase_below = 0.85;
constexpr double decrease_factor = 0.95;
constexpr double increase_step = 0.5;
// A batch shows its new speed only after some steps. A change before that would
// react to the same measurements twice.
constexpr model::milliseconds decrease_interval{500};
constexpr model::milliseconds increase_interval{200};
// A report loses its value once the requests that it counted have ended.
constexpr double report_horizon_seconds = 2.0;
constexpr model::milliseconds history_step{100};
// Fixed part of the time to first token: one step of the batch.
constexpr double step_ms = 25.0;

} // namespace

engine_state::engine_state(std::string engine_name)
    : name(std::move(engine_name))
{
}

void engine_state::update_listing(model::engine const& listed,
                                  bool in_own_region)
{
    own_region = in_own_region;
    if (m_concurrency_limit == 0.0 || slots != listed.slots) {
        m_concurrency_limit = listed.slots > 0 ? listed.slots : initial_limit;
    }
    slots = listed.slots;
    if (listed.leaving) {
        health = engine_health::leaving;
    } else if (health == engine_health::leaving) {
        health = engine_health::good;
    }
}

void engine_state::record_dispatch(model::request_id id,
                                   double prefill_tokens,
                                   model::time_point now)
{
    record_history(now);
    in_flight.push_back(id);
    allowance -= 1.0;
    m_pending_prefill += prefill_tokens;
}

void engine_state::record_first_token(double prefill_tokens)
{
    m_pending_prefill = std::max(0.0, m_pending_prefill - prefill_tokens);
}

void engine_state::record_token_gap(model::seconds gap,
                                    model::milliseconds tightest_target,
                                    model::time_point now)
{
    gap_ms.add(gap.count() * 1000.0);
    double const target = std::max(1.0, to_ms(tightest_target));
    double const ratio = gap_ms.value_or(0.0) / target;
    if (ratio > decrease_above) {
        decrease_limit(now);
    } else if (ratio < increase_below
               && outstanding(now) + 1.0 >= m_concurrency_limit) {
        increase_limit(now);
    }
}

void engine_state::record_end(model::request_id id,
                              double pending_prefill,
                              model::time_point now)
{
    record_history(now);
    auto const request = std::find(in_flight.begin(), in_flight.end(), id);
    if (request != in_flight.end()) {
        *request = in_flight.back();
        in_flight.pop_back();
        // No other host knows yet that this slot is free.
        allowance = std::max(0.0, allowance) + 1.0;
    }
    m_pending_prefill =
        in_flight.empty() ? 0.0
                          : std::max(0.0, m_pending_prefill - pending_prefill);
}

void engine_state::apply_report(engine_report const& report)
{
    if (m_has_report && report.measured_at <= m_report_measured_at) {
        return;
    }
    m_has_report = true;
    m_report_measured_at = report.measured_at;
    m_reported = static_cast<double>(report.running) + report.waiting;
    m_kv_used = report.kv_used;
    m_local_count_at_report = local_count_at(report.measured_at);
}

double engine_state::outstanding(model::time_point now) const
{
    // A report counts the requests of all hosts but is delayed. This host's
    // requests at that time are subtracted and its current ones added. The rest
    // belongs to other hosts and decays with the age of the report. Without
    // this, all hosts follow each other to the engine that last looked idle.
    double others = peer_requests;
    if (m_has_report) {
        double const age =
            std::max(0.0, model::seconds(now - m_report_measured_at).count());
        double const reported =
            std::max(0.0, m_reported - m_local_count_at_report);
        others = std::max(others,
                          reported * std::exp(-age / report_horizon_seconds));
    }
    return local_count() + others;
}

double engine_state::concurrency_limit() const
{
    bool const accepts_work =
        health == engine_health::good || health == engine_health::probing;
    return accepts_work ? m_concurrency_limit : 0.0;
}

void engine_state::add_peer_prefill(double tokens, model::time_point now)
{
    m_peer_prefill = std::max(0.0, m_peer_prefill + tokens);
    m_peer_prefill_updated = now;
}

double engine_state::pending_prefill(double rate, model::time_point now) const
{
    // One very long prompt from another host delays a short one by a second,
    // however small the batch. The prompt tokens computed since the digest are
    // subtracted.
    double const age = model::seconds(now - m_peer_prefill_updated).count();
    return m_pending_prefill + std::max(0.0, m_peer_prefill - rate * age);
}

bool engine_state::accepts_probe() const
{
    return health == engine_health::probing && local_count() < max_probes;
}

model::milliseconds engine_state::predict_first_token(
    double uncached_tokens, double prefill_rate, model::time_point now) const
{
    double const tokens_ahead =
        pending_prefill(prefill_rate, now) + uncached_tokens;
    double const compute = tokens_ahead / prefill_rate * 1000.0;
    double const limit = std::max(1.0, concurrency_limit());
    double const excess = std::max(0.0, outstanding(now) + 1.0 - limit);
    // Above the limit a request waits until another one ends.
    double const wait = excess * gap_ms.value_or(step_ms) * 4.0;
    double const step = gap_ms.value_or(step_ms);
    return model::milliseconds(
        static_cast<std::int64_t>(compute + wait + step));
}

void engine_state::record_history(model::time_point now)
{
    load_sample& last =
        m_history[(m_history_end + history_size - 1) % history_size];
    if (now - last.at < history_step) {
        return;
    }
    m_history[m_history_end] = {now, local_count()};
    m_history_end = (m_history_end + 1) % history_size;
}

std::uint32_t engine_state::local_count_at(model::time_point measured_at) const
{
    std::uint32_t closest = local_count();
    model::time_point earliest = model::time_point::max();
    for (load_sample const& past : m_history) {
        if (past.at >= measured_at && past.at < earliest) {
            earliest = past.at;
            closest = past.local_count;
        }
    }
    return closest;
}

void engine_state::increase_limit(model::time_point now)
{
    if (now - m_limit_changed < increase_interval) {
        return;
    }
    double const max_for_engine = slots > 0 ? slots : max_limit;
    m_concurrency_limit =
        std::min(max_for_engine, m_concurrency_limit + increase_step);
    m_limit_changed = now;
}

void engine_state::decrease_limit(model::time_point now)
{
    if (now - m_limit_changed < decrease_interval) {
        return;
    }
    m_concurrency_limit =
        std::max(min_limit, m_concurrency_limit * decrease_factor);
    m_limit_changed = now;
}

} // namespace caperjunction::decide
