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

/// Turns wishes into fenced orders, for the engines that are this host's.
///
/// Each engine has one orderer by each list of hosts. While lists differ two
/// hosts may both take themselves for it. An engine that checks fencing
/// numbers refuses the one with the older list. For an engine that doesn't,
/// the older one has to stop by itself: it sends only while its list has
/// been confirmed lately, and the newer one waits until that must be over.
/// Where this fails, an engine loads models to and fro: its `orders_total`
/// grows on two hosts at once.
///
/// Thread safety: none; owned by one task. Copyable, for exploration.
class orderer
{
public:
    /// \pre settings.quiet is above lease and flight together.
    explicit orderer(order_settings settings);

    /// Takes one event at time `now` and appends what is to be done to `out`.
    ///
    /// \pre `now` is not before that of any earlier call.
    void handle(order_event const& event,
                model::time_point now,
                std::vector<order_decision>& out);

    /// To be asked right before the first byte of an order leaves.
    ///
    /// \pre `now` is read after everything that may take long.
    bool may_send(order const& order, model::time_point now);

    /// Whether this host orders that engine, by its own list.
    bool is_owner(std::string_view engine) const;

    /// See `append` in claim_fingerprint.hpp.
    void fingerprint(model::time_point now, std::string& out) const;

private:
    /// What is known of one engine.
    struct engine_state
    {
        ordered_engine engine;
        bool owned = false;
        /// Since when it has been this host's to order.
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
    void assign(engine_state& state, model::time_point now) const;
    bool allowed(engine_state const& state, model::time_point now) const;
    bool due(engine_state const& state, model::time_point now) const;
    model::milliseconds load_interval() const;

    order_settings m_settings;
    pause_detector m_pause_detector;
    model::time_point m_last_pause_end{};
    model::time_point m_confirmed{};
    bool m_stopping = false;
    std::uint64_t m_revision = 0;
    std::vector<std::string> m_hosts;
    std::map<std::string, engine_state, std::less<>> m_engines;
    /// Not set before the first list.
    std::optional<model::time_point> m_next_load;
};

} // namespace caperjunction::fleet

#endif
