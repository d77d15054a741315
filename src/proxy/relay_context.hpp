#ifndef CAPERJUNCTION_PROXY_RELAY_CONTEXT_HPP
#define CAPERJUNCTION_PROXY_RELAY_CONTEXT_HPP

#include "model/time.hpp"
#include "proxy/exchange_report.hpp"
#include "proxy/relay_settings.hpp"
#include "proxy/upstream_pool.hpp"
#include "proxy/wire_names.hpp"
#include "routing/freshness.hpp"
#include "routing/picker.hpp"
#include "routing/retry_allowance.hpp"
#include "routing/route_table.hpp"
#include "routing/upstream_directory.hpp"
#include "runtime/event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace caperjunction::proxy {

/// What all requests of a host share.
///
/// Thread safety: none; owned by the loop's task.
struct relay_context
{
    runtime::event_loop& loop;
    wire_names const& names;
    relay_settings settings;
    /// A clock that counts the time that the host was suspended.
    std::function<model::time_point()> boot_now;
    routing::freshness keys;
    /// Null until a configuration is known.
    std::shared_ptr<routing::route_table const> table;
    routing::upstream_directory directory;
    routing::picker picker;
    upstream_pool pool;
    std::map<std::string, routing::retry_allowance> allowances;
    /// Called once for each request that ended.
    std::function<void(exchange_report const&)> on_ended;
    /// Set while the host stops: requests that begin now would be cut off.
    bool refuses_new = false;
    /// Set from the signal to stop: answers close their connections.
    bool is_stopping = false;

    relay_context(runtime::event_loop& on,
                  wire_names const& wire,
                  relay_settings const& given,
                  std::function<model::time_point()> boot,
                  routing::upstream_directory::distance_of measure)
        : loop(on)
        , names(wire)
        , settings(given)
        , boot_now(std::move(boot))
        , keys(given.key_lifetime)
        , directory(std::move(measure))
        , picker(directory)
        , pool(on)
    {
    }

    /// The budget of second sends to `service`.
    routing::retry_allowance& allowance(std::string const& service)
    {
        // Hosts don't know how many they are; a fleet of this many keeps
        // within its extra budget when all spend their share at once.
        constexpr double assumed_hosts = 27.0;
        return allowances
            .try_emplace(service,
                         settings.retry_ratio,
                         std::max(1.0, settings.retry_extra / assumed_hosts))
            .first->second;
    }
};

} // namespace caperjunction::proxy

#endif
