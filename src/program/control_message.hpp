#ifndef CAPERJUNCTION_PROGRAM_CONTROL_MESSAGE_HPP
#define CAPERJUNCTION_PROGRAM_CONTROL_MESSAGE_HPP

#include "decide/event.hpp"
#include "net/relay.hpp"

#include <variant>

namespace caperjunction::program {

/// The relay has stopped accepting and its last answer is out.
struct relay_idle
{
};

/// What the relay tells the control task.
using control_message =
    std::variant<decide::event, net::exchange_ended, relay_idle>;

} // namespace caperjunction::program

#endif
