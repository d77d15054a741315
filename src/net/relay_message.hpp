#ifndef CAPERJUNCTION_NET_RELAY_MESSAGE_HPP
#define CAPERJUNCTION_NET_RELAY_MESSAGE_HPP

#include "decide/decision.hpp"
#include "lists/catalogue.hpp"
#include "model/upstreams.hpp"

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
    model::upstreams upstreams;
};

/// Answer a caller with what an earlier run of its call was answered.
struct answer_again
{
    model::request_id id;
    int status = 200;
    std::string content_type;
    std::string body;
};

/// Take no new connections; end when the last answer is out.
struct stop_accepting
{
};

/// What a relay task can be told.
using relay_message = std::variant<decide::decision,
                                   use_lists,
                                   use_upstreams,
                                   answer_again,
                                   stop_accepting>;

} // namespace caperjunction::net

#endif
