#ifndef CAPERJUNCTION_NET_HAND_OVER_HPP
#define CAPERJUNCTION_NET_HAND_OVER_HPP

#include "fleet/hand_over_message.hpp"
#include "model/time.hpp"
#include "net/exchange.hpp"

#include <memory>

namespace caperjunction::net {

/// Converts the request of an exchange into a hand-over message. The caller
/// was authenticated on this host; its API key is not sent.
fleet::hand_over_request pack(exchange const& active, model::time_point now);

/// Creates an exchange for a request that another host handed over.
///
/// \throws model::error (bad_request) if it is not in the format of `pack`.
std::unique_ptr<exchange> unpack(fleet::hand_over_request const& request,
                                 model::time_point now);

} // namespace caperjunction::net

#endif
