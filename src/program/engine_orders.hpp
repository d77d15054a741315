#ifndef CAPERJUNCTION_PROGRAM_ENGINE_ORDERS_HPP
#define CAPERJUNCTION_PROGRAM_ENGINE_ORDERS_HPP

#include "decide/event.hpp"
#include "fleet/orderer.hpp"
#include "model/host_list.hpp"
#include "model/time.hpp"
#include "model/upstream_list.hpp"
#include "net/upstream_client.hpp"
#include "runtime/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace caperjunction::program {

/// Turns model load requests of the decision logic into orders to engines.
/// Forwards each request to the host that owns the engine's orders, and sends
/// the orders that this host owns.
///
/// Thread safety: none; owned by one task.
class engine_orders
{
public:
    /// Sends a request to the host that owns the engine's orders.
    using forward_hook =
        std::function<void(std::string const& to, fleet::order_request const&)>;

    engine_orders(runtime::event_loop& loop,
                  std::string const& host,
                  std::uint64_t generation,
                  forward_hook forward);

    void set_hosts(model::host_list const& hosts);
    void confirm_hosts(model::time_point as_of);
    void set_upstreams(model::upstream_list const& upstreams);

    /// Records the models that an engine reports.
    void report(decide::engine_report const& report);

    void request(fleet::order_request const& request, bool forwarded);
    void tick();
    void plan_stop();

private:
    struct known_engine
    {
        model::endpoint address;
        fleet::ordered_engine facts;
    };

    void handle_event(fleet::order_event const& event);
    void update_engines();
    void send(fleet::order const& order);

    runtime::event_loop& m_loop;
    fleet::orderer m_orderer;
    forward_hook m_forward;
    net::upstream_client m_client;
    std::map<std::string, known_engine> m_engines;
};

} // namespace caperjunction::program

#endif
