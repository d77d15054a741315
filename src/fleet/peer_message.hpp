#ifndef CAPERJUNCTION_FLEET_PEER_MESSAGE_HPP
#define CAPERJUNCTION_FLEET_PEER_MESSAGE_HPP

#include "fleet/claim_message.hpp"
#include "fleet/config_message.hpp"
#include "fleet/hand_over_message.hpp"
#include "fleet/load_digest.hpp"
#include "fleet/membership_message.hpp"
#include "fleet/order.hpp"

#include <variant>

namespace caperjunction::fleet {

/// Every message between hosts.
using peer_message = std::variant<heartbeat,
                                  membership_updates,
                                  probe,
                                  probe_reply,
                                  config_announce,
                                  config_fetch,
                                  config_value,
                                  load_digest,
                                  hand_over_request,
                                  hand_over_chunk,
                                  hand_over_end,
                                  hand_over_cancel,
                                  claim_message,
                                  order_request>;

} // namespace caperjunction::fleet

#endif
