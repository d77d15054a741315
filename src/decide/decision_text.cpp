#include "decide/decision_text.hpp"

namespace caperjunction::decide {

namespace {

std::string pair(char const* key, std::string const& value)
{
    return std::string(" ") + key + '=' + value;
}

std::string pair(char const* key, std::uint64_t value)
{
    return pair(key, std::to_string(value));
}

std::string text(dispatch const& decision_made)
{
    std::string line = "dispatch" + pair("id", decision_made.id.value)
                       + pair("upstream", decision_made.upstream)
                       + pair("priority", decision_made.priority)
                       + pair("offset", decision_made.resume_offset)
                       + pair("attempt", decision_made.attempt);
    return line + pair("reason", decision_made.reason);
}

std::string text(queued const& decision_made)
{
    return "queued" + pair("id", decision_made.id.value)
           + pair("position", decision_made.position)
           + pair("reason", decision_made.reason);
}

std::string text(refuse const& decision_made)
{
    return "refuse" + pair("id", decision_made.id.value)
           + pair("kind", std::string(model::to_string(decision_made.kind)))
           + pair("outcome",
                  std::string(model::to_string(decision_made.outcome)))
           + pair("retry_after_ms",
                  static_cast<std::uint64_t>(decision_made.retry_after.count()))
           + pair("reason", decision_made.reason);
}

std::string text(cancel_attempt const& decision_made)
{
    return "cancel_attempt" + pair("id", decision_made.id.value)
           + pair("upstream", decision_made.upstream)
           + pair("reason", decision_made.reason);
}

std::string text(hand_over const& decision_made)
{
    return "hand_over" + pair("id", decision_made.id.value)
           + pair("host", decision_made.host)
           + pair("reason", decision_made.reason);
}

std::string text(eject_engine const& decision_made)
{
    return "eject_engine" + pair("engine", decision_made.engine)
           + pair("reason", decision_made.reason);
}

std::string text(readmit_engine const& decision_made)
{
    return "readmit_engine" + pair("engine", decision_made.engine)
           + pair("reason", decision_made.reason);
}

std::string text(quarantine_request const& decision_made)
{
    return "quarantine_request" + pair("fingerprint", decision_made.fingerprint)
           + pair("reason", decision_made.reason);
}

std::string text(shift_model const& decision_made)
{
    return "shift_model" + pair("engine", decision_made.engine)
           + pair("model", decision_made.model)
           + pair("reason", decision_made.reason);
}

} // namespace

std::string to_text(decision const& decision_made)
{
    return std::visit(
        [](auto const& alternative) {
            return text(alternative);
        },
        decision_made);
}

} // namespace caperjunction::decide
