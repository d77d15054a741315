#ifndef CAPERJUNCTION_PROGRAM_METRICS_HPP
#define CAPERJUNCTION_PROGRAM_METRICS_HPP

#include "decide/decision.hpp"
#include "lists/catalogue.hpp"
#include "net/relay_report.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <memory>
#include <string>

namespace caperjunction::program {

/// Metrics of the process. The values of all labels come from the lists or from
/// fixed sets, so that a caller cannot create new time series.
///
/// Thread safety: all methods may be called by any thread.
class metrics
{
public:
    metrics();

    void count_decision(decide::decision const& decision);
    void count_ended(net::exchange_ended const& ended);
    /// Counts whether a completed answer met the targets of its class.
    void count_target(net::exchange_ended const& ended,
                      lists::catalogue const& catalogue);
    void count_list(bool accepted);
    void set_revision(std::uint64_t revision);

    /// Returns the metrics in the Prometheus text format.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_tokens;
    prometheus::Family<prometheus::Histogram>& m_first_byte;
    prometheus::Family<prometheus::Counter>& m_placements;
    prometheus::Family<prometheus::Counter>& m_refusals;
    prometheus::Family<prometheus::Counter>& m_targets;
    prometheus::Family<prometheus::Counter>& m_good_tokens;
    prometheus::Family<prometheus::Gauge>& m_promises;
    prometheus::Family<prometheus::Counter>& m_lists;
    prometheus::Gauge& m_revision;
};

} // namespace caperjunction::program

#endif
