#ifndef CAPERJUNCTION_NET_HAND_OVER_HPP
#define CAPERJUNCTION_NET_HAND_OVER_HPP

#include "fleet/hand_over_message.hpp"
#include "model/time.hpp"
#include "net/exchange.hpp"

#include <memory>

namespace caperjunction::net {

/// The request of an exchange for another host. Who the caller is has been
/// checked here; its key stays here.
fleet::hand_over_request pack(exchange const& active, model::time_point now);

/// An exchange for a request that another host handed over.
///
/// \throws model::error (bad_request) if it is not what `pack` makes.
std::unique_ptr<exchange> unpack(fleet::hand_over_request const& request,
                                 model::time_point now);

} // namespace caperjunction::net

#endif
