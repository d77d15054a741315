#include "program/control.hpp"

namespace caperjunction::program {

void control::handle_host_change(fleet::host_changed const& change)
{
    if (change.change == fleet::host_change::returned) {
        return;
    }
    handle_event(decide::host_lost{change.host});
    if (change.change == fleet::host_change::restarted) {
        m_bookings.record_restart(change.host, m_loop.now());
    }
    // A leaving host still completes the requests it serves for this host.
    if (change.change != fleet::host_change::leaving) {
        m_to_relay(net::drop_host{change.host});
    }
}

void control::handle_message(std::string const& from,
                             fleet::peer_message const& message)
{
    if (auto const* claim = std::get_if<fleet::claim_message>(&message)) {
        m_bookings.receive(from, *claim, m_loop.now());
    } else if (auto const* hand_over =
                   std::get_if<fleet::hand_over_request>(&message)) {
        m_to_relay(net::serve_handed_over{from, *hand_over});
    } else if (auto const* chunk =
                   std::get_if<fleet::hand_over_chunk>(&message)) {
        m_to_relay(net::receive_chunk{from, *chunk});
    } else if (auto const* end = std::get_if<fleet::hand_over_end>(&message)) {
        m_to_relay(net::receive_end{from, *end});
    } else if (auto const* request =
                   std::get_if<fleet::order_request>(&message)) {
        m_orders.request(*request, true);
    } else if (auto const* cancel =
                   std::get_if<fleet::hand_over_cancel>(&message)) {
        m_to_relay(net::cancel_handed_over{from, cancel->id});
    }
}

} // namespace caperjunction::program
