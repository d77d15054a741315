#ifndef CAPERJUNCTION_FLEET_ORDER_HPP
#define CAPERJUNCTION_FLEET_ORDER_HPP

#include "model/time.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace caperjunction::fleet {

/// Fencing number of model load orders. An engine that checks it refuses a
/// number below the highest it has seen. Compares by the list's revision first,
/// which only grows and is the same for all hosts, then by the process.
struct fencing_number
{
    std::uint64_t list_revision = 0;
    std::uint64_t generation = 0;

    friend bool operator==(fencing_number const&,
                           fencing_number const&) = default;

    friend bool operator<(fencing_number const& a, fencing_number const& b)
    {
        return a.list_revision != b.list_revision
                   ? a.list_revision < b.list_revision
                   : a.generation < b.generation;
    }
};

/// One host's request that an engine serve a model. Sent to the engine's
/// orderer.
struct order_request
{
    std::string engine;
    std::string model;
};

/// An order to serve a model. Idempotent: repeated orders have no effect.
struct order
{
    std::string engine;
    std::string model;
    fencing_number number;
};

/// Forward the request to the engine's orderer.
struct order_request_forward
{
    std::string to;
    order_request request;
};

/// Send the order to the engine if `orderer::may_send` returns true immediately
/// before its first byte. Report the end with `order_ended`.
struct order_send
{
    fleet::order order;
};

/// Every output of an orderer.
using order_decision = std::variant<order_request_forward, order_send>;

} // namespace caperjunction::fleet

#endif
