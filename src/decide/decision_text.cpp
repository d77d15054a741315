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

std::string text(dispatch const& value)
{
    std::string line =
        "dispatch" + pair("id", value.id.value)
        + pair("upstream", value.upstream) + pair("priority", value.priority)
        + pair("offset", value.resume_offset) + pair("attempt", value.attempt);
    return line + pair("reason", value.reason);
}

std::string text(queued const& value)
{
    return "queued" + pair("id", value.id.value)
           + pair("position", value.position) + pair("reason", value.reason);
}

std::string text(refuse const& value)
{
    return "refuse" + pair("id", value.id.value)
           + pair("kind", std::string(model::to_string(value.kind)))
           + pair("outcome", std::string(model::to_string(value.outcome)))
           + pair("retry_after_ms",
                  static_cast<std::uint64_t>(value.retry_after.count()))
           + pair("reason", value.reason);
}

std::string text(cancel_attempt const& value)
{
    return "cancel_attempt" + pair("id", value.id.value)
           + pair("upstream", value.upstream) + pair("reason", value.reason);
}

std::string text(hand_over const& value)
{
    return "hand_over" + pair("id", value.id.value) + pair("host", value.host)
           + pair("reason", value.reason);
}

std::string text(eject_engine const& value)
{
    return "eject_engine" + pair("engine", value.engine)
           + pair("reason", value.reason);
}

std::string text(readmit_engine const& value)
{
    return "readmit_engine" + pair("engine", value.engine)
           + pair("reason", value.reason);
}

std::string text(quarantine_request const& value)
{
    return "quarantine_request" + pair("fingerprint", value.fingerprint)
           + pair("reason", value.reason);
}

std::string text(shift_model const& value)
{
    return "shift_model" + pair("engine", value.engine)
           + pair("model", value.model) + pair("reason", value.reason);
}

} // namespace

std::string to_text(decision const& value)
{
    return std::visit(
        [](auto const& alternative) {
            return text(alternative);
        },
        value);
}

} // namespace caperjunction::decide
