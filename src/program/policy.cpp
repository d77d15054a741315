#include "program/policy.hpp"

#include "net/caller_reply.hpp"
#include "program/described.hpp"
#include "runtime/log_line.hpp"

#include <utility>

namespace caperjunction::program {

policy::policy(decide::router_settings const& settings,
               runtime::clock clock,
               decision_hook execute)
    : m_router(settings)
    , m_clock(std::move(clock))
    , m_execute(std::move(execute))
{
}

void policy::handle(decide::event const& event)
{
    if (auto const* arrived = std::get_if<decide::request_arrived>(&event)) {
        record_arrival(arrived->request);
    } else {
        m_tracker.record(event);
    }
    std::vector<decide::decision> decisions;
    m_router.handle(event, m_clock.now(), decisions);
    for (decide::decision const& decision : decisions) {
        record_decision(decision);
        m_execute(decision);
    }
}

void policy::record_arrival(decide::request const& request)
{
    if (m_tracker.knows(request.id)) {
        return;
    }
    m_tracker.record(decide::request_arrived{request});
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
    m_tracker.forget(ended.id);
}

void policy::record_decision(decide::decision const& decision)
{
    decision_description const description = describe(decision);
    m_tracker.record(decision);
    runtime::log_line line(description.event);
    if (description.id.value != 0) {
        request_facts const& facts = m_tracker.facts(description.id);
        line.field("request", net::to_string(description.id))
            .field("customer", facts.customer)
            .field("class", facts.service_class);
        m_trail.add(description.id,
                    {m_clock.now(), description.event, description.pairs});
    }
    for (key_value const& item : description.pairs) {
        line.field(item.key, item.value);
    }
    line.field("revision", m_revision);
}

} // namespace caperjunction::program
