#ifndef CAPERJUNCTION_FLEET_ORDER_HPP
#define CAPERJUNCTION_FLEET_ORDER_HPP

#include "model/time.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace caperjunction::fleet {

/// Orders the orders to one engine: an engine that checks it refuses a number
/// below the highest that it has seen. The list's revision goes first, since
/// it only grows and all hosts read the same; then the process.
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

/// One host's wish that an engine serve a model. Goes to the engine's orderer.
struct order_request
{
    std::string engine;
    std::string model;
};

/// "Serve this model": idempotent, so that a repeated order does nothing.
struct order
{
    std::string engine;
    std::string model;
    fencing_number number;
};

/// Send the wish to the host that orders that engine.
struct order_request_forward
{
    std::string to;
    order_request request;
};

/// Hand the order to the engine, if `orderer::may_send` still says so when
/// its first byte leaves. End it by `order_ended`.
struct order_send
{
    fleet::order order;
};

/// Everything that an orderer can ask for.
using order_decision = std::variant<order_request_forward, order_send>;

} // namespace caperjunction::fleet

#endif
