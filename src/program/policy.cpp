#include "program/policy.hpp"

#include "net/caller_reply.hpp"
#include "program/described.hpp"
#include "runtime/log_line.hpp"

#include <utility>

namespace caperjunction::program {

policy::policy(decide::router_settings const& settings,
               runtime::clock clock,
               decision_hook carry_out)
    : m_router(settings)
    , m_clock(std::move(clock))
    , m_carry_out(std::move(carry_out))
{
}

void policy::handle(decide::event const& event)
{
    if (auto const* arrived = std::get_if<decide::request_arrived>(&event)) {
        note_arrival(arrived->request);
    } else {
        m_ledger.record(event);
    }
    std::vector<decide::decision> decisions;
    m_router.handle(event, m_clock.now(), decisions);
    for (decide::decision const& decision : decisions) {
        note(decision);
        m_carry_out(decision);
    }
}

void policy::note_arrival(decide::request const& request)
{
    if (m_ledger.knows(request.id)) {
        return;
    }
    m_ledger.record(decide::request_arrived{request});
    m_trail.add(request.id,
                {m_clock.now(),
                 "request_arrived",
                 {{"customer", request.customer},
                  {"team", request.team},
                  {"class", request.service_class},
                  {"model", request.model},
                  {"service", request.service}}});
}

void policy::finish(net::exchange_ended const& ended)
{
    std::string const outcome(model::to_string(ended.outcome));
    m_trail.add(
        ended.id,
        {m_clock.now(),
         "request_ended",
         {{"outcome", outcome},
          {"error", ended.error},
          {"tokens", std::to_string(ended.tokens)},
          {"first_byte_ms", std::to_string(ended.first_byte.count())}}});
    runtime::log_line("request_ended")
        .field("request", net::to_string(ended.id))
        .field("customer", ended.customer)
        .field("class", ended.service_class)
        .field("outcome", outcome)
        .field("error", ended.error)
        .field("tokens", ended.tokens)
        .field("first_byte_ms", ended.first_byte.count())
        .field("whole_ms", ended.total_time.count());
    m_ledger.forget(ended.id);
}

void policy::note(decide::decision const& decision)
{
    described const words = describe(decision);
    m_ledger.record(decision);
    runtime::log_line line(words.event);
    if (words.id.value != 0) {
        request_facts const& facts = m_ledger.facts(words.id);
        line.field("request", net::to_string(words.id))
            .field("customer", facts.customer)
            .field("class", facts.service_class);
        m_trail.add(words.id, {m_clock.now(), words.event, words.pairs});
    }
    for (pair const& item : words.pairs) {
        line.field(item.key, item.value);
    }
    line.field("revision", m_revision);
}

} // namespace caperjunction::program
