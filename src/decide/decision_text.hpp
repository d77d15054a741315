#ifndef CAPERJUNCTION_DECIDE_DECISION_TEXT_HPP
#define CAPERJUNCTION_DECIDE_DECISION_TEXT_HPP

#include "decide/decision.hpp"

#include <string>

namespace caperjunction::decide {

/// Formats a decision as one line of key=value pairs, identical in every run.
/// Thread safety: no shared state.
std::string to_text(decision const& value);

} // namespace caperjunction::decide

#endif
