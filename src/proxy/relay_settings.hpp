#ifndef CAPERJUNCTION_PROXY_RELAY_SETTINGS_HPP
#define CAPERJUNCTION_PROXY_RELAY_SETTINGS_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "routing/location.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace caperjunction::proxy {

/// Settings of the relay of one host.
struct relay_settings
{
    model::endpoint listen;
    /// Address for digests from other hosts; port 0 disables the exchange with
    /// peers.
    model::endpoint peer_listen;
    /// Hash of the name of this host's data centre.
    std::uint64_t data_centre = 0;
    /// Address at which this host connects others to upstreams; port 0: it
    /// doesn't.
    model::endpoint tunnel_listen;
    std::string region;
    /// Where other data centres are, by the hash of their name.
    std::map<std::uint64_t, routing::location> data_centres;
    /// Hosts that are contacted first to discover others.
    std::vector<model::endpoint> seeds;
    /// How long keys stay valid without confirmation by the store.
    model::milliseconds key_lifetime{5'000};
    /// Time within which a published change must be in force.
    model::milliseconds apply_limit{2'500};
    /// Whether reservation and affinity use speed classes of engines, which are
    /// measured by their event gaps.
    bool speed_classes = false;
    /// Whether placement uses the measured capacity of engines: for services
    /// whose engines differ lastingly in speed. Needs `speed_classes`, which
    /// `load_routed_settings` sets with it.
    bool placement_by_capacity = false;
    /// Whether prompts beyond their teams' shares are refused before others of
    /// the same urgency, except the most urgent ones.
    bool team_shares = false;
    /// Whether the number of engines reserved for the most urgent streams also
    /// follows the work of their prompts.
    bool reserve_by_work = false;
    /// Whether placement prefers upstreams to which this host has an idle
    /// connection.
    bool prefer_idle_connections = false;
    /// Whether prompts that would be refused because of overload wait for a
    /// short time if an engine may have room then.
    bool host_queue = false;
    /// Whether an overdue request that may be repeated is withdrawn from an
    /// engine that has not begun to answer, if another one starts it sooner.
    bool withdraw_unstarted = false;
    /// Whether forecasts depend on the urgency of a prompt: engines prefill
    /// more urgent prompts first.
    bool forecast_by_urgency = false;
    /// Whether prompts consider engines of a subset that this host keeps to, in
    /// place of all, beside their affinity and overflow engines.
    bool engine_subset = false;
    /// Retries that each request adds to the budget, over the whole fleet.
    double retry_ratio = 0.2;
    /// Burst of retries that the fleet may make beyond that ratio.
    double retry_extra = 50.0;
    /// Time from the stop signal until the process is killed.
    model::milliseconds stop_limit{8'000};
    /// Timeout for connecting to an upstream. It covers many round trips
    /// between regions and is short compared with callers' deadlines.
    model::milliseconds connect_timeout{250};
    /// Maximum bytes of buffered request bodies: half of the smallest host's
    /// memory. Without the limit the process is killed for lack of memory, and
    /// all callers lose their connections.
    std::size_t max_buffered_bytes = 40'000'000;
};

} // namespace caperjunction::proxy

#endif
