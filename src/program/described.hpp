#ifndef CAPERJUNCTION_PROGRAM_DESCRIBED_HPP
#define CAPERJUNCTION_PROGRAM_DESCRIBED_HPP

#include "decide/decision.hpp"
#include "model/request_id.hpp"

#include <string>
#include <vector>

namespace caperjunction::program {

/// One key=value pair of a log line or of a trail.
struct key_value
{
    std::string key;
    std::string value;
};

/// A decision in the words of the log and of `explain`.
struct decision_description
{
    /// Name of the log event.
    std::string event;
    /// Zero if the decision is about no one request.
    model::request_id id;
    std::vector<key_value> pairs;
};

/// Thread safety: no shared state.
decision_description describe(decide::decision const& decision);

} // namespace caperjunction::program

#endif
