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

std::string text(dispatch const& made)
{
    std::string line =
        "dispatch" + pair("id", made.id.value) + pair("upstream", made.upstream)
        + pair("priority", made.priority) + pair("offset", made.resume_offset)
        + pair("attempt", made.attempt);
    return line + pair("reason", made.reason);
}

std::string text(queued const& made)
{
    return "queued" + pair("id", made.id.value)
           + pair("position", made.position) + pair("reason", made.reason);
}

std::string text(refuse const& made)
{
    return "refuse" + pair("id", made.id.value)
           + pair("kind", std::string(model::to_string(made.kind)))
           + pair("outcome", std::string(model::to_string(made.outcome)))
           + pair("retry_after_ms",
                  static_cast<std::uint64_t>(made.retry_after.count()))
           + pair("reason", made.reason);
}

std::string text(cancel_attempt const& made)
{
    return "cancel_attempt" + pair("id", made.id.value)
           + pair("upstream", made.upstream) + pair("reason", made.reason);
}

std::string text(hand_over const& made)
{
    return "hand_over" + pair("id", made.id.value) + pair("host", made.host)
           + pair("reason", made.reason);
}

std::string text(eject_engine const& made)
{
    return "eject_engine" + pair("engine", made.engine)
           + pair("reason", made.reason);
}

std::string text(readmit_engine const& made)
{
    return "readmit_engine" + pair("engine", made.engine)
           + pair("reason", made.reason);
}

std::string text(quarantine_request const& made)
{
    return "quarantine_request" + pair("fingerprint", made.fingerprint)
           + pair("reason", made.reason);
}

std::string text(shift_model const& made)
{
    return "shift_model" + pair("engine", made.engine)
           + pair("model", made.model) + pair("reason", made.reason);
}

} // namespace

std::string to_text(decision const& made)
{
    return std::visit(
        [](auto const& one) {
            return text(one);
        },
        made);
}

} // namespace caperjunction::decide
