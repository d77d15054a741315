#include "program/metrics.hpp"

#include "model/outcome.hpp"

#include <prometheus/text_serializer.h>

namespace caperjunction::program {
namespace {

// Around the targets for the first token that plans give, in seconds.
prometheus::Histogram::BucketBoundaries const& first_byte_buckets()
{
    static prometheus::Histogram::BucketBoundaries const s_buckets{
        0.01, 0.05, 0.1, 0.2, 0.35, 0.49, 0.75, 1.0, 2.0, 5.0, 15.0, 60.0};
    return s_buckets;
}

prometheus::Family<prometheus::Counter>& counter(prometheus::Registry& registry,
                                                 std::string const& name,
                                                 std::string const& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

} // namespace

metrics::metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(counter(*m_registry,
                         "caperjunction_requests_total",
                         "Requests that ended, by class and outcome"))
    , m_tokens(counter(*m_registry,
                       "caperjunction_relayed_tokens_total",
                       "Output tokens relayed to callers, by class"))
    , m_first_byte(prometheus::BuildHistogram()
                       .Name("caperjunction_first_byte_seconds")
                       .Help("From arrival to the first byte, by class")
                       .Register(*m_registry))
    , m_placements(counter(*m_registry,
                           "caperjunction_placements_total",
                           "Attempts placed, first ones and retries"))
    , m_refusals(counter(*m_registry,
                         "caperjunction_refusals_total",
                         "Requests refused, by reason"))
    , m_lists(counter(*m_registry,
                      "caperjunction_lists_total",
                      "Published lists received, accepted or not"))
    , m_revision(prometheus::BuildGauge()
                     .Name("caperjunction_list_revision")
                     .Help("Revision of the lists in force")
                     .Register(*m_registry)
                     .Add({}))
{
}

void metrics::count_decision(decide::decision const& decision)
{
    if (auto const* placed = std::get_if<decide::dispatch>(&decision)) {
        char const* const kind = placed->attempt <= 1 ? "first" : "retry";
        m_placements.Add({{"attempt", kind}}).Increment();
    } else if (auto const* no = std::get_if<decide::refuse>(&decision)) {
        m_refusals.Add({{"reason", no->reason}}).Increment();
    }
}

void metrics::count_ended(net::exchange_ended const& ended)
{
    m_requests
        .Add({{"class", ended.service_class},
              {"outcome", std::string(model::to_string(ended.outcome))}})
        .Increment();
    m_tokens.Add({{"class", ended.service_class}}).Increment(ended.tokens);
    if (ended.first_byte.count() > 0) {
        std::chrono::duration<double> const seconds = ended.first_byte;
        m_first_byte.Add({{"class", ended.service_class}}, first_byte_buckets())
            .Observe(seconds.count());
    }
}

void metrics::count_list(bool accepted)
{
    m_lists.Add({{"accepted", accepted ? "true" : "false"}}).Increment();
}

void metrics::set_revision(std::uint64_t revision)
{
    m_revision.Set(static_cast<double>(revision));
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace caperjunction::program
