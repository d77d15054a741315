#include "program/routed_flags.hpp"

#include "program/flag_checks.hpp"
#include "program/flags.hpp"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

ABSL_FLAG(std::string,
          regions,
          "{}",
          "route: the region of each data centre, as a JSON object");
ABSL_FLAG(caperjunction::program::endpoint_flag,
          metrics_listen,
          caperjunction::program::endpoint_flag{},
          "route: additional address for metrics, beside the admin address");
ABSL_FLAG(std::string,
          seeds,
          "",
          "route: hosts to contact first for discovery, ADDRESS:PORT of their "
          "peer_listen, separated by commas");
ABSL_FLAG(std::uint16_t,
          seed_port,
          0,
          "route: port of all seeds; 0: use the port of each seed");
ABSL_FLAG(caperjunction::program::endpoint_flag,
          tunnel_listen,
          caperjunction::program::endpoint_flag{},
          "route: address at which this host connects hosts that have lost "
          "their links to upstreams with these; port 0: it doesn't");
ABSL_FLAG(absl::Duration,
          key_lifetime,
          absl::Seconds(5),
          "route: time for which keys are accepted without confirmation by the "
          "platform");
ABSL_FLAG(absl::Duration,
          apply_limit,
          absl::Milliseconds(2500),
          "route: time within which a published change must be in force");
ABSL_FLAG(bool,
          speed_classes,
          false,
          "route: reserve fast engines for the most urgent streams first, and "
          "give slow ones fewer prompts, by the event gaps of their streams");
ABSL_FLAG(bool,
          placement_by_capacity,
          false,
          "route: place requests by the measured capacity of engines; for "
          "services whose engines differ lastingly in speed");
ABSL_FLAG(bool,
          team_shares,
          false,
          "route: under overload, refuse prompts beyond the max-min share of "
          "their team before others of the same urgency");
ABSL_FLAG(bool,
          reserve_by_work,
          false,
          "route: reserve engines for the most urgent streams also by the work "
          "of their prompts, so that they keep their event gaps");
ABSL_FLAG(bool,
          prefer_idle_connections,
          false,
          "route: of upstreams that would answer equally soon, prefer those to "
          "which this host has an idle connection");
ABSL_FLAG(bool,
          host_queue,
          false,
          "route: under overload, let prompts wait at the host for at most an "
          "eighth of their latency target before they are refused");
ABSL_FLAG(bool,
          withdraw_unstarted,
          false,
          "route: withdraw overdue requests that may be repeated from engines "
          "that have not begun to answer, if another one starts them sooner");
ABSL_FLAG(bool,
          forecast_by_urgency,
          false,
          "route: forecast the wait of a prompt from the prompts that engines "
          "prefill before it: those that are at least as urgent");
ABSL_FLAG(bool,
          engine_subset,
          false,
          "route: place prompts on engines of a subset that this host keeps "
          "to, so that its connections are used again");
ABSL_FLAG(double,
          retry_ratio,
          0.2,
          "route: retries allowed per request, fleet-wide");
ABSL_FLAG(double,
          retry_extra,
          50.0,
          "route: additional retries allowed for the whole fleet");
ABSL_FLAG(absl::Duration,
          stop_limit,
          absl::Seconds(8),
          "route: time from the stop signal until the process is killed");

namespace caperjunction::program {
namespace {

std::map<std::string, std::string> read_regions(std::string const& text)
{
    nlohmann::json const from = nlohmann::json::parse(text, nullptr, false);
    std::map<std::string, std::string> regions;
    if (!from.is_object()) {
        refuse_setting("--regions is not a JSON object",
                       "set it to {\"centre\":\"region\"}");
    }
    for (auto const& [centre, region] : from.items()) {
        if (!region.is_string()) {
            refuse_setting("--regions has no region for " + centre,
                           "set it to {\"centre\":\"region\"}");
        }
        regions.emplace(centre, region.get<std::string>());
    }
    return regions;
}

std::uint64_t hash_of(std::string const& name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::vector<model::endpoint> read_seeds(std::string const& text)
{
    std::vector<model::endpoint> seeds;
    for (absl::string_view const part :
         absl::StrSplit(text, ',', absl::SkipEmpty())) {
        endpoint_flag seed;
        std::string reason;
        if (!AbslParseFlag(part, &seed, &reason)) {
            refuse_setting("--seeds contains an invalid address: "
                               + std::string(part),
                           reason);
        }
        if (std::uint16_t const port = absl::GetFlag(FLAGS_seed_port);
            port != 0) {
            seed.value.port = port;
        }
        seeds.push_back(seed.value);
    }
    return seeds;
}

/// Loads which decisions under load are switched on.
void load_decisions(proxy::relay_settings& into)
{
    into.placement_by_capacity = absl::GetFlag(FLAGS_placement_by_capacity);
    into.speed_classes =
        absl::GetFlag(FLAGS_speed_classes) || into.placement_by_capacity;
    into.team_shares = absl::GetFlag(FLAGS_team_shares);
    into.reserve_by_work = absl::GetFlag(FLAGS_reserve_by_work);
    into.prefer_idle_connections = absl::GetFlag(FLAGS_prefer_idle_connections);
    into.host_queue = absl::GetFlag(FLAGS_host_queue);
    into.withdraw_unstarted = absl::GetFlag(FLAGS_withdraw_unstarted);
    into.forecast_by_urgency = absl::GetFlag(FLAGS_forecast_by_urgency);
    into.engine_subset = absl::GetFlag(FLAGS_engine_subset);
}

} // namespace

routed_settings load_routed_settings()
{
    routed_settings loaded;
    loaded.host_name = absl::GetFlag(FLAGS_host_name);
    loaded.region = absl::GetFlag(FLAGS_region);
    loaded.data_centre = absl::GetFlag(FLAGS_data_centre);
    require_text(loaded.host_name, "host_name");
    require_text(loaded.region, "region");
    require_text(loaded.data_centre, "data_centre");
    loaded.regions = read_regions(absl::GetFlag(FLAGS_regions));
    loaded.admin_listen = absl::GetFlag(FLAGS_admin_listen).value;
    loaded.metrics_listen = absl::GetFlag(FLAGS_metrics_listen).value;
    loaded.platform = absl::GetFlag(FLAGS_platform).value;
    require_text(loaded.platform.address, "platform");
    loaded.relay.data_centre = hash_of(loaded.data_centre);
    loaded.relay.region = loaded.region;
    for (auto const& [name, region] : loaded.regions) {
        loaded.relay.data_centres[hash_of(name)] = {
            region == loaded.region ? routing::distance::same_region
                                    : routing::distance::other_region,
            region};
    }
    loaded.relay.tunnel_listen = absl::GetFlag(FLAGS_tunnel_listen).value;
    loaded.relay.peer_listen = absl::GetFlag(FLAGS_peer_listen).value;
    loaded.relay.seeds = read_seeds(absl::GetFlag(FLAGS_seeds));
    loaded.relay.listen = absl::GetFlag(FLAGS_listen).value;
    // With less than a second, keys expire before they can be confirmed.
    loaded.relay.key_lifetime =
        duration_in_range(absl::GetFlag(FLAGS_key_lifetime),
                          absl::Seconds(1),
                          absl::Hours(1),
                          "key_lifetime");
    loaded.relay.stop_limit = duration_in_range(absl::GetFlag(FLAGS_stop_limit),
                                                absl::Seconds(1),
                                                absl::Hours(1),
                                                "stop_limit");
    loaded.relay.apply_limit =
        duration_in_range(absl::GetFlag(FLAGS_apply_limit),
                          absl::Milliseconds(500),
                          absl::Hours(1),
                          "apply_limit");
    load_decisions(loaded.relay);
    loaded.relay.retry_ratio = absl::GetFlag(FLAGS_retry_ratio);
    loaded.relay.retry_extra = absl::GetFlag(FLAGS_retry_extra);
    if (!(loaded.relay.retry_ratio >= 0.0) || loaded.relay.retry_ratio > 1.0) {
        refuse_setting("--retry_ratio is out of range", "choose 0 to 1");
    }
    if (!(loaded.relay.retry_extra >= 0.0)) {
        refuse_setting("--retry_extra is negative", "choose 0 or more");
    }
    return loaded;
}

} // namespace caperjunction::program
