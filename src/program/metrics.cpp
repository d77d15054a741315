#include "program/metrics.hpp"

#include "model/outcome.hpp"

#include <prometheus/text_serializer.h>

namespace caperjunction::program {
namespace {

// Bucket bounds in seconds, around the first token targets of the plans.
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
    , m_targets(counter(*m_registry,
                        "caperjunction_targets_total",
                        "Answers that ran, by class and whether within target"))
    , m_good_tokens(counter(*m_registry,
                            "caperjunction_good_tokens_total",
                            "Output tokens of answers within target"))
    , m_promises(prometheus::BuildGauge()
                     .Name("caperjunction_promised_attainment_ratio")
                     .Help("Share of answers within target that is promised")
                     .Register(*m_registry))
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
    } else if (auto const* refusal = std::get_if<decide::refuse>(&decision)) {
        m_refusals.Add({{"reason", refusal->reason}}).Increment();
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

void metrics::count_target(net::exchange_ended const& ended,
                           lists::catalogue const& catalogue)
{
    auto const* const kind = catalogue.find_class(ended.service_class);
    if (kind == nullptr || ended.outcome != model::outcome::ran) {
        return;
    }
    auto const streaming_time = ended.total_time - ended.first_byte;
    bool const meets_inter_token_target =
        ended.tokens < 2
        || streaming_time <= kind->inter_token_target * (ended.tokens - 1);
    bool const met = meets_inter_token_target
                     && ended.first_byte <= kind->first_token_target;
    m_targets.Add({{"class", kind->name}, {"met", met ? "true" : "false"}})
        .Increment();
    if (met) {
        m_good_tokens.Add({{"class", kind->name}}).Increment(ended.tokens);
    }
    m_promises.Add({{"class", kind->name}}).Set(kind->promised_attainment);
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
