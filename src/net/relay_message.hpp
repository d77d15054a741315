#ifndef CAPERJUNCTION_NET_RELAY_MESSAGE_HPP
#define CAPERJUNCTION_NET_RELAY_MESSAGE_HPP

#include "decide/decision.hpp"
#include "fleet/hand_over_message.hpp"
#include "lists/catalogue.hpp"
#include "model/time.hpp"
#include "model/upstream_list.hpp"

#include <memory>
#include <string>
#include <variant>

namespace caperjunction::net {

/// Replaces the lists in force.
struct use_lists
{
    std::shared_ptr<lists::catalogue const> catalogue;
};

/// Replaces the addresses of the upstreams.
struct use_upstreams
{
    model::upstream_list upstreams;
};

/// Dispatches a call that may run only once, but not after `until`.
struct dispatch_booking
{
    decide::dispatch to;
    model::time_point until{};
};

/// Answers a caller with the stored answer of an earlier run of its call.
struct replay_answer
{
    model::request_id id;
    int status = 200;
    std::string content_type;
    std::string body;
};

/// Serves a request that another host handed over.
struct serve_handed_over
{
    std::string from;
    fleet::hand_over_request request;
};

/// Part of the answer to a request that this host handed over.
struct receive_chunk
{
    std::string from;
    fleet::hand_over_chunk chunk;
};

/// End of the answer to a request that this host handed over.
struct receive_end
{
    std::string from;
    fleet::hand_over_end end;
};

/// The caller of a request that `from` handed over has disconnected.
struct cancel_handed_over
{
    std::string from;
    model::request_id id;
};

/// `host` is lost: retracts or ends the requests handed over to it, and
/// cancels those that it handed over.
struct drop_host
{
    std::string host;
};

/// Accepts no new connections; `relay_idle` follows the last answer.
struct stop_accepting
{
};

/// Message to a relay task.
using relay_message = std::variant<decide::decision,
                                   use_lists,
                                   use_upstreams,
                                   dispatch_booking,
                                   replay_answer,
                                   serve_handed_over,
                                   receive_chunk,
                                   receive_end,
                                   cancel_handed_over,
                                   drop_host,
                                   stop_accepting>;

} // namespace caperjunction::net

#endif
