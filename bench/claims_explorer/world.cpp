#include "bench/claims_explorer/world.hpp"

#include "bench/claims_explorer/envelope_hash.hpp"

#include <xxhash.h>

#include <algorithm>

namespace caperjunction::claims_explorer {

namespace {

constexpr fleet::claim_key call_key{1, 1};
constexpr std::uint64_t call_fingerprint = 1;

} // namespace

world::world(scenario const& fixed, fault_budget const& budget)
    : m_scenario(&fixed)
    , m_budget(budget)
    , m_now(std::chrono::hours(1))
    , m_published{m_now}
{
    for (std::size_t host = 0; host < fixed.names.size(); ++host) {
        ++m_generations;
        m_members.push_back(
            {std::make_shared<node>(fixed, host, m_generations, true), 0});
    }
    for (std::size_t host = 0; host < fixed.names.size(); ++host) {
        adopt(host, 0);
        confirm(host);
        update_hash(host);
    }
}

void world::apply(step const& what)
{
    switch (what.kind) {
    case step_kind::deliver:
        deliver(what.index, false);
        break;
    case step_kind::deliver_twice:
        --m_budget.duplicates;
        deliver(what.index, true);
        break;
    case step_kind::hold:
        --m_budget.holds;
        m_in_flight[what.index].held = true;
        break;
    case step_kind::drop:
        --m_budget.drops;
        m_in_flight.erase(m_in_flight.begin()
                          + static_cast<std::ptrdiff_t>(what.index));
        break;
    case step_kind::start:
        start(what.index);
        break;
    case step_kind::dispatch_runs:
        dispatch(what.index, true);
        break;
    case step_kind::dispatch_refused:
        dispatch(what.index, false);
        break;
    case step_kind::end:
        end(what.index, model::outcome::ran);
        break;
    default:
        apply_to_fleet(what);
        break;
    }
    for (std::size_t host = 0; host < m_members.size(); ++host) {
        update_hash(host);
    }
}

// Applies steps other than those of messages and calls.
void world::apply_to_fleet(step const& what)
{
    switch (what.kind) {
    case step_kind::publish:
        --m_budget.lists;
        m_published.push_back(m_now);
        break;
    case step_kind::adopt:
        adopt(what.index, m_members[what.index].state->list + 1);
        break;
    case step_kind::adopt_newest:
        adopt(what.index, m_published.size() - 1);
        break;
    case step_kind::leave:
        --m_budget.leaves;
        mutable_node(what.index).leaving = true;
        handle_event(what.index,
                     fleet::witness_event(fleet::claim_stop_planned{}));
        break;
    case step_kind::crash:
        --m_budget.crashes;
        mutable_node(what.index).alive = false;
        break;
    case step_kind::restart:
        --m_budget.restarts;
        restart(what.index);
        break;
    case step_kind::leap:
        --m_budget.leaps;
        m_budget.pauses -= what.host == step::no_host ? 0 : 1;
        leap(m_scenario->leaps[what.index], what.host);
        break;
    case step_kind::wake:
        mutable_node(what.index).ticked_after_pause = true;
        tick(what.index);
        break;
    default:
        confirm(what.index);
        break;
    }
}

std::uint64_t world::hash() const
{
    std::vector<std::uint64_t> parts;
    for (auto const& one : m_members) {
        parts.push_back(one.hash);
    }
    // Messages that are delivered in order are hashed in order; the hash does
    // not depend on the order of the others.
    std::vector<std::uint64_t> messages;
    for (auto const& one : m_in_flight) {
        bool const unordered = one.held || one.packet->is_unordered();
        auto const hash = one.packet->hash + (one.held ? 1 : 0);
        (unordered ? messages : parts).push_back(hash);
    }
    parts.push_back(messages.size());
    std::sort(messages.begin(), messages.end());
    parts.insert(parts.end(), messages.begin(), messages.end());
    auto const add_age = [&](model::time_point then) {
        parts.push_back(static_cast<std::uint64_t>((m_now - then).count()));
    };
    parts.push_back(m_published.size());
    std::for_each(m_published.begin(), m_published.end(), add_age);
    std::for_each(m_runs.begin(), m_runs.end(), add_age);
    auto const* budget = reinterpret_cast<std::uint8_t const*>(&m_budget);
    parts.push_back(XXH3_64bits(budget, sizeof m_budget));
    return XXH3_64bits(parts.data(), parts.size() * sizeof parts[0]);
}

node& world::mutable_node(std::size_t host)
{
    auto& one = m_members[host];
    if (one.hash != 0) {
        one.state = std::make_shared<node>(*one.state);
        one.hash = 0;
    }
    return *one.state;
}

void world::update_hash(std::size_t host)
{
    auto& one = m_members[host];
    if (one.hash == 0) {
        one.hash = one.state->hash(m_now) | 1U;
    }
}

void world::send(std::size_t from,
                 std::vector<fleet::claim_send> const& messages)
{
    for (auto const& one : messages) {
        envelope packet{from, m_scenario->index_of(one.to), one.message, 0};
        if (packet.to == m_scenario->names.size()) {
            continue;
        }
        packet.hash = hash_of(packet);
        m_in_flight.push_back(
            {std::make_shared<envelope const>(std::move(packet)), false});
    }
}

void world::deliver(std::size_t index, bool keep)
{
    auto const packet = m_in_flight[index].packet;
    if (keep) {
        m_in_flight[index].held = true;
    } else {
        m_in_flight.erase(m_in_flight.begin()
                          + static_cast<std::ptrdiff_t>(index));
    }
    if (m_members[packet->to].state->alive) {
        handle_message(packet->to,
                       {m_scenario->names[packet->from], packet->message});
    }
}

void world::handle_event(std::size_t host, fleet::witness_event const& event)
{
    std::vector<fleet::claim_send> out;
    mutable_node(host).witness.handle(event, m_now, out);
    send(host, out);
}

void world::handle_event(std::size_t host, fleet::claimant_event const& event)
{
    std::vector<fleet::claim_decision> out;
    mutable_node(host).claimant.handle(event, m_now, out);
    for (auto const& decision : out) {
        execute(host, decision);
    }
}

void world::handle_message(std::size_t host, fleet::claim_received const& event)
{
    handle_event(host, fleet::witness_event(event));
    handle_event(host, fleet::claimant_event(event));
}

void world::execute(std::size_t host, fleet::claim_decision const& decision)
{
    node& one = mutable_node(host);
    if (auto const* packet = std::get_if<fleet::claim_send>(&decision)) {
        send(host, {*packet});
    } else if (auto const* go = std::get_if<fleet::claim_proceed>(&decision)) {
        one.stage = call_stage::queued;
        one.ticket = go->ticket;
    } else if (auto const* no = std::get_if<fleet::claim_not_run>(&decision)) {
        m_violations.false_not_run += ran_recently() ? 1 : 0;
        one.reported_not_run = one.reported_not_run || no->ticket == one.ticket;
        one.stage = call_stage::idle;
    } else if (std::holds_alternative<fleet::claim_unknown>(decision)
               || std::holds_alternative<fleet::claim_fetch_answer>(decision)) {
        bool const first = one.stage == call_stage::waiting;
        one.stage = first ? call_stage::idle : one.stage;
    }
}

void world::start(std::size_t host)
{
    node& one = mutable_node(host);
    bool const again = one.stage != call_stage::idle;
    m_budget.resends -= one.starts > 0 ? 1 : 0;
    ++one.starts;
    ++m_tickets;
    if (!again) {
        one.stage = call_stage::waiting;
        one.ticket = m_tickets;
        one.reported_not_run = false;
    }
    handle_event(host,
                 fleet::claimant_event(fleet::claim_started{
                     call_key, call_fingerprint, m_tickets}));
}

// Acts as the host process does: it asks the claimant again directly before it
// sends the call to an upstream.
void world::dispatch(std::size_t host, bool runs)
{
    node& one = mutable_node(host);
    bool const allowed = one.claimant.begin_dispatch(call_key, m_now);
    if (!allowed) {
        end(host, model::outcome::not_run);
        return;
    }
    m_violations.false_not_run += one.reported_not_run ? 1 : 0;
    if (!runs) {
        end(host, model::outcome::not_run);
        return;
    }
    m_violations.runs_twice += ran_recently() ? 1 : 0;
    m_runs.push_back(m_now);
    one.stage = call_stage::dispatched;
}

void world::end(std::size_t host, model::outcome outcome)
{
    mutable_node(host).stage = call_stage::idle;
    handle_event(host,
                 fleet::claimant_event(fleet::claim_ended{call_key, outcome}));
}

bool world::ran_recently() const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [&](auto const& run) {
        return m_now - run < m_scenario->rerun_exclusion_period();
    });
}

} // namespace caperjunction::claims_explorer
