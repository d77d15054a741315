#include "fleet/orderer.hpp"

#include "fleet/claim_fingerprint.hpp"
#include "fleet/rendezvous.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace caperjunction::fleet {

orderer::orderer(order_settings settings)
    : m_settings(std::move(settings))
    , m_pause_detector(m_settings.pause_limit)
{
}

void orderer::handle(order_event const& event,
                     model::time_point now,
                     std::vector<order_decision>& out)
{
    // During a pause other hosts may have taken over this host's
    // engines.
    if (m_pause_detector.record_wakeup(now)) {
        m_last_pause_end = now;
    }
    std::visit(
        [&](auto const& alternative) {
            on_event(alternative, now, out);
        },
        event);
}

void orderer::on_event(order_hosts_listed const& event,
                       model::time_point now,
                       decisions& /*out*/)
{
    if (event.revision <= m_revision) {
        return;
    }
    m_revision = event.revision;
    m_hosts = event.hosts;
    if (!m_next_load) {
        m_next_load = now + load_interval();
    }
    for (auto& [name, state] : m_engines) {
        update_owner(state, now);
    }
}

void orderer::on_event(order_hosts_confirmed const& event,
                       model::time_point now,
                       decisions& /*out*/)
{
    m_confirmed = std::max(m_confirmed, std::min(event.as_of, now));
    if (event.as_of >= m_last_pause_end) {
        m_pause_detector.mark_refreshed();
    }
}

void orderer::on_event(order_engines_listed const& event,
                       model::time_point now,
                       decisions& /*out*/)
{
    std::map<std::string, engine_state, std::less<>> engines;
    for (auto const& engine : event.engines) {
        auto const known = m_engines.find(engine.name);
        auto& state = engines[engine.name];
        if (known != m_engines.end()) {
            state = known->second;
        }
        state.engine = engine;
        update_owner(state, now);
    }
    m_engines = std::move(engines);
}

void orderer::on_event(order_requested const& event,
                       model::time_point now,
                       decisions& out)
{
    auto const found = m_engines.find(event.request.engine);
    if (found == m_engines.end()) {
        return;
    }
    if (!found->second.owned) {
        auto const owner = owner_of(event.request.engine);
        if (!event.forwarded && !owner.empty()) {
            out.push_back(order_request_forward{owner, event.request});
        }
        return;
    }
    found->second.request = event.request;
    found->second.requested_at = now;
    on_event(order_tick{}, now, out);
}

void orderer::on_event(order_ended const& event,
                       model::time_point now,
                       decisions& /*out*/)
{
    auto const found = m_engines.find(event.engine);
    if (found == m_engines.end() || !found->second.in_flight) {
        return;
    }
    engine_state& state = found->second;
    state.in_flight = false;
    bool const is_complete =
        event.end == order_end::done || event.end == order_end::outdated;
    if (is_complete) {
        state.request.reset();
    }
    // A failed order may have reached the engine, so it counts as sent.
    if (event.end == order_end::not_sent) {
        m_next_load = now;
    } else {
        state.last_order = now;
    }
}

void orderer::on_event(order_stop_planned const& /*event*/,
                       model::time_point /*now*/,
                       decisions& /*out*/)
{
    m_stopping = true;
}

void orderer::on_event(order_tick const& /*event*/,
                       model::time_point now,
                       decisions& out)
{
    for (auto& [name, state] : m_engines) {
        if (state.request
            && now - state.requested_at > m_settings.request_lifetime) {
            state.request.reset();
        }
        if (!should_order(state, now) || now < m_next_load.value_or(now)) {
            continue;
        }
        m_next_load = now + load_interval();
        state.in_flight = true;
        state.ordered = true;
        state.last_order = now;
        fencing_number const number{m_revision, m_settings.generation};
        out.push_back(order_send{order{name, state.request->model, number}});
    }
}

bool orderer::may_send(order const& order, model::time_point now)
{
    if (m_pause_detector.record_wakeup(now)) {
        m_last_pause_end = now;
    }
    // If the engine moved to another host and back while the order waited, the
    // order is older than that host's orders.
    fencing_number const newest{m_revision, m_settings.generation};
    auto const found = m_engines.find(order.engine);
    return found != m_engines.end() && found->second.in_flight
           && order.number == newest && may_order(found->second, now);
}

bool orderer::is_owner(std::string_view engine) const
{
    auto const found = m_engines.find(engine);
    return found != m_engines.end() && found->second.owned;
}

std::string orderer::owner_of(std::string_view engine) const
{
    return rendezvous_owner(m_hosts, XXH3_64bits(engine.data(), engine.size()));
}

void orderer::update_owner(engine_state& state, model::time_point now) const
{
    bool const owned = owner_of(state.engine.name) == m_settings.host;
    if (owned && !state.owned) {
        state.owned_since = now;
    }
    if (!owned) {
        state.request.reset();
    }
    state.owned = owned;
}

// An engine that checks fencing numbers rejects the older orderer itself. For
// one that doesn't, two timers do: this host's list was confirmed so recently
// that a newer orderer, if any, still waits for its takeover delay.
bool orderer::may_order(engine_state const& state, model::time_point now) const
{
    if (m_stopping || !state.owned || !m_pause_detector.is_current()) {
        return false;
    }
    if (state.engine.checks_fencing) {
        return true;
    }
    return now - m_confirmed <= m_settings.lease
           && now - state.owned_since >= m_settings.takeover_delay;
}

bool orderer::should_order(engine_state const& state,
                           model::time_point now) const
{
    if (!state.request || state.in_flight || !may_order(state, now)) {
        return false;
    }
    auto const& models = state.engine.models;
    bool const serves_model =
        std::find(models.begin(), models.end(), state.request->model)
        != models.end();
    bool const ordered_recently =
        state.ordered && now - state.last_order < m_settings.min_order_interval;
    return !serves_model && !ordered_recently;
}

// Each load reads complete model weights from a shared store. Above the store's
// rate all loads of the fleet slow down together. Unused rate does not
// accumulate, otherwise all hosts could load at once after an idle hour.
model::milliseconds orderer::load_interval() const
{
    model::seconds const minute = std::chrono::minutes(1);
    auto const hosts = std::max<std::size_t>(m_hosts.size(), 1);
    auto const each = minute / m_settings.loads_per_minute;
    return std::chrono::ceil<model::milliseconds>(each
                                                  * static_cast<double>(hosts));
}

void orderer::fingerprint(model::time_point now, std::string& out) const
{
    append(out, m_settings.generation);
    append(out, m_revision);
    append(out,
           (m_pause_detector.is_current() ? 2U : 0U) + (m_stopping ? 1U : 0U));
    append_age(out, m_confirmed, now);
    append_age(out, std::max(now, m_next_load.value_or(now)), now);
    for (auto const& [name, state] : m_engines) {
        append(out, std::string_view(name));
        append(out,
               (state.owned ? 4U : 0U) + (state.ordered ? 2U : 0U)
                   + (state.in_flight ? 1U : 0U));
        append_age(out, state.owned ? state.owned_since : now, now);
        append(out,
               std::string_view(state.request ? state.request->model : ""));
        append_age(out, state.request ? state.requested_at : now, now);
        append_age(out, state.ordered ? state.last_order : now, now);
    }
}

} // namespace caperjunction::fleet
