#ifndef CAPERJUNCTION_DECIDE_DECISION_TEXT_HPP
#define CAPERJUNCTION_DECIDE_DECISION_TEXT_HPP

#include "decide/decision.hpp"

#include <string>

namespace caperjunction::decide {

/// A decision as one line of key=value pairs, the same in every run. Thread
/// safety: no shared state.
std::string to_text(decision const& made);

} // namespace caperjunction::decide

#endif
