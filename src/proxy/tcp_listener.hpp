#ifndef CAPERJUNCTION_PROXY_TCP_LISTENER_HPP
#define CAPERJUNCTION_PROXY_TCP_LISTENER_HPP

#include "model/endpoint.hpp"
#include "runtime/event_loop.hpp"

#include <event2/listener.h>

#include <cstdint>
#include <string_view>

namespace caperjunction::proxy {

/// Listens for connections at `at`. `flag` names the setting of the address.
/// The caller frees the result.
///
/// Thread safety: the loop's task.
/// \throws model::error (bad_settings) if the address is not available.
evconnlistener* listen_on(runtime::event_loop& loop,
                          model::endpoint const& at,
                          std::string_view flag,
                          evconnlistener_cb on_accepted,
                          void* argument);

/// Returns the port of a listener.
std::uint16_t port_of(evconnlistener* listener);

} // namespace caperjunction::proxy

#endif
