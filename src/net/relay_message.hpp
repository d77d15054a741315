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

/// These lists are in force from now on.
struct use_lists
{
    std::shared_ptr<lists::catalogue const> catalogue;
};

/// Addresses of the upstreams from now on.
struct use_upstreams
{
    model::upstream_list upstreams;
};

/// Dispatch a call that may run only once; not after `until`.
struct dispatch_booking
{
    decide::dispatch to;
    model::time_point until{};
};

/// Answer a caller with what an earlier run of its call was answered.
struct replay_answer
{
    model::request_id id;
    int status = 200;
    std::string content_type;
    std::string body;
};

/// Serve a request that another host handed over.
struct serve_handed_over
{
    std::string from;
    fleet::hand_over_request request;
};

/// Part of an answer that another host gives for this one.
struct receive_chunk
{
    std::string from;
    fleet::hand_over_chunk chunk;
};

/// The end of such an answer.
struct receive_end
{
    std::string from;
    fleet::hand_over_end end;
};

/// The other host's caller hung up.
struct cancel_handed_over
{
    std::string from;
    model::request_id id;
};

/// This host serves nothing for us any more.
struct drop_host
{
    std::string host;
};

/// Take no new connections; end when the last answer is out.
struct stop_accepting
{
};

/// What a relay task can be told.
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
