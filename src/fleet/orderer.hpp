#ifndef CAPERJUNCTION_FLEET_ORDERER_HPP
#define CAPERJUNCTION_FLEET_ORDERER_HPP

#include "fleet/order.hpp"
#include "fleet/order_event.hpp"
#include "fleet/order_settings.hpp"
#include "fleet/pause_detector.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::fleet {

/// Turns model load requests into fenced orders, for the engines that this host
/// owns.
///
/// Each list of hosts assigns every engine one orderer. While lists differ, two
/// hosts may both consider themselves the orderer. An engine that checks
/// fencing numbers refuses the one with the older list. For an engine that
/// doesn't, the older orderer has to stop by itself: it sends only while the
/// confirmation of its list is recent, and the newer one waits until that lease
/// has expired. If this fails, an engine alternates between models, and its
/// `orders_total` grows on two hosts at once.
///
/// Thread safety: none; owned by one task. Copyable, for exploration.
class orderer
{
public:
    /// \pre settings.takeover_delay is above lease plus delivery_timeout.
    explicit orderer(order_settings settings);

    /// Handles one event at time `now` and appends the decisions to `out`.
    ///
    /// \pre `now` is not before that of any earlier call.
    void handle(order_event const& event,
                model::time_point now,
                std::vector<order_decision>& out);

    /// Has to be called immediately before the first byte of an order is sent.
    /// Returns false if the order must not be sent.
    ///
    /// \pre `now` is read after any operation that may block.
    bool may_send(order const& order, model::time_point now);

    /// Returns whether this host is the engine's orderer by its own list.
    bool is_owner(std::string_view engine) const;

    /// See `append` in claim_fingerprint.hpp.
    void fingerprint(model::time_point now, std::string& out) const;

private:
    /// State of one engine.
    struct engine_state
    {
        ordered_engine engine;
        bool owned = false;
        /// Time since which this host has been the orderer.
        model::time_point owned_since{};
        std::optional<order_request> request;
        model::time_point requested_at{};
        bool ordered = false;
        model::time_point last_order{};
        bool in_flight = false;
    };

    using decisions = std::vector<order_decision>;

    void on_event(order_hosts_listed const& event,
                  model::time_point now,
                  decisions& out);
    void on_event(order_hosts_confirmed const& event,
                  model::time_point now,
                  decisions& out);
    void on_event(order_engines_listed const& event,
                  model::time_point now,
                  decisions& out);
    void on_event(order_requested const& event,
                  model::time_point now,
                  decisions& out);
    void
    on_event(order_ended const& event, model::time_point now, decisions& out);
    void on_event(order_stop_planned const& event,
                  model::time_point now,
                  decisions& out);
    void
    on_event(order_tick const& event, model::time_point now, decisions& out);

    std::string owner_of(std::string_view engine) const;
    void update_owner(engine_state& state, model::time_point now) const;
    bool may_order(engine_state const& state, model::time_point now) const;
    bool should_order(engine_state const& state, model::time_point now) const;
    model::milliseconds load_interval() const;

    order_settings m_settings;
    pause_detector m_pause_detector;
    model::time_point m_last_pause_end{};
    model::time_point m_confirmed{};
    bool m_stopping = false;
    std::uint64_t m_revision = 0;
    std::vector<std::string> m_hosts;
    std::map<std::string, engine_state, std::less<>> m_engines;
    /// Empty before the first list.
    std::optional<model::time_point> m_next_load;
};

} // namespace caperjunction::fleet

#endif
