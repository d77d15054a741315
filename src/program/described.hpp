#ifndef CAPERJUNCTION_PROGRAM_DESCRIBED_HPP
#define CAPERJUNCTION_PROGRAM_DESCRIBED_HPP

#include "decide/decision.hpp"
#include "model/request_id.hpp"

#include <string>
#include <vector>

namespace caperjunction::program {

/// Key and value of a log line or a trail step.
struct key_value
{
    std::string key;
    std::string value;
};

/// Text form of a decision, for the log and for `explain`.
struct decision_description
{
    /// Name of the log event.
    std::string event;
    /// Zero if the decision does not concern a single request.
    model::request_id id;
    std::vector<key_value> pairs;
};

/// Thread safety: no shared state.
decision_description describe(decide::decision const& decision);

} // namespace caperjunction::program

#endif
