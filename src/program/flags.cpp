#include "program/flags.hpp"

#include "program/flag_checks.hpp"

#include <absl/flags/flag.h>
#include <absl/time/time.h>

#include <cstdint>

using caperjunction::program::endpoint_flag;

ABSL_FLAG(std::string,
          config,
          "",
          "File of flags, one --name=value per line; the environment and the "
          "command line take precedence. Reloaded on SIGHUP");
ABSL_FLAG(std::string,
          host_name,
          "",
          "Name of this host in the platform's list");
ABSL_FLAG(std::string, region, "", "Region of this host");
ABSL_FLAG(std::string, data_centre, "", "Data centre of this host");
ABSL_FLAG(endpoint_flag,
          listen,
          (endpoint_flag{{"127.0.0.1", 8080}}),
          "Address for callers, ADDRESS:PORT; with port 0 the kernel chooses");
ABSL_FLAG(endpoint_flag,
          admin_listen,
          (endpoint_flag{{"127.0.0.1", 8081}}),
          "Address for operators and metrics; never expose it to callers");
ABSL_FLAG(endpoint_flag,
          peer_listen,
          (endpoint_flag{{"127.0.0.1", 8082}}),
          "Address at which other hosts reach this host");
ABSL_FLAG(endpoint_flag,
          platform,
          endpoint_flag{},
          "Address of the platform's configuration service, ADDRESS:PORT; "
          "required");
ABSL_FLAG(std::string,
          peer_secret,
          "",
          "Secret shared by all hosts; set it in the environment, because "
          "other users of the machine can read the command line");
ABSL_FLAG(
    bool,
    first_fleet,
    false,
    "Set only at the first start of the whole fleet, when no booking of an "
    "earlier fleet can be resent; without it, bookings wait until the claim "
    "tables of the hosts are known to be complete");
ABSL_FLAG(std::uint32_t,
          max_requests,
          20'000,
          "Maximum number of concurrent requests; further ones are refused");
ABSL_FLAG(std::uint32_t,
          max_body_bytes,
          8U * 1024U * 1024U,
          "Maximum size in bytes of a request body, and of an answer that is "
          "kept until it is complete");
ABSL_FLAG(std::uint32_t,
          max_kept_bytes,
          256U * 1024U * 1024U,
          "Maximum size in bytes of all answers that are kept until they are "
          "complete; beyond it, the longest one is broken off");
ABSL_FLAG(absl::Duration,
          caller_timeout,
          absl::Seconds(30),
          "Time within which a caller must send its complete request");
ABSL_FLAG(absl::Duration,
          connect_timeout,
          absl::Seconds(1),
          "Maximum time for connecting to an upstream");
ABSL_FLAG(absl::Duration,
          first_byte_timeout,
          absl::Seconds(30),
          "Maximum time until an upstream starts its answer");
ABSL_FLAG(absl::Duration,
          progress_timeout,
          absl::Seconds(10),
          "Maximum time without progress in an upstream's answer");
ABSL_FLAG(absl::Duration,
          drain_delay,
          absl::Seconds(5),
          "During a planned stop: time for the load balancer to notice, in "
          "which new requests are still served");
ABSL_FLAG(absl::Duration,
          drain_limit,
          absl::Minutes(10),
          "During a planned stop: maximum wait for running answers");
ABSL_FLAG(absl::Duration,
          watch_wait,
          absl::Seconds(10),
          "Maximum time for which a watch waits at the platform's service");
ABSL_FLAG(endpoint_flag,
          admin,
          (endpoint_flag{{"127.0.0.1", 8081}}),
          "explain, status: admin address of the queried host");
ABSL_FLAG(std::string, format, "table", "explain, status: table or json");

namespace caperjunction::program {
namespace {

model::milliseconds positive(absl::Duration value, std::string const& flag)
{
    return duration_in_range(
        value, absl::Milliseconds(1), absl::Hours(24), flag);
}

void require_positive(std::uint32_t value, std::string const& flag)
{
    if (value == 0) {
        refuse_setting("--" + flag + " is 0", "choose at least 1");
    }
}

net::relay_settings load_relay()
{
    net::relay_settings relay;
    relay.listen = absl::GetFlag(FLAGS_listen).value;
    require_positive(absl::GetFlag(FLAGS_max_requests), "max_requests");
    require_positive(absl::GetFlag(FLAGS_max_body_bytes), "max_body_bytes");
    relay.max_exchanges = absl::GetFlag(FLAGS_max_requests);
    relay.max_body_bytes = absl::GetFlag(FLAGS_max_body_bytes);
    relay.max_kept_bytes = absl::GetFlag(FLAGS_max_kept_bytes);
    if (relay.max_kept_bytes < relay.max_body_bytes) {
        refuse_setting("--max_kept_bytes is below --max_body_bytes",
                       "choose at least as much");
    }
    relay.caller_timeout =
        positive(absl::GetFlag(FLAGS_caller_timeout), "caller_timeout");
    relay.upstreams.connect =
        positive(absl::GetFlag(FLAGS_connect_timeout), "connect_timeout");
    relay.upstreams.first_byte =
        positive(absl::GetFlag(FLAGS_first_byte_timeout), "first_byte_timeout");
    relay.upstreams.progress =
        positive(absl::GetFlag(FLAGS_progress_timeout), "progress_timeout");
    return relay;
}

} // namespace

settings load_settings()
{
    settings loaded;
    loaded.host_name = absl::GetFlag(FLAGS_host_name);
    loaded.region = absl::GetFlag(FLAGS_region);
    loaded.data_centre = absl::GetFlag(FLAGS_data_centre);
    require_text(loaded.host_name, "host_name");
    require_text(loaded.region, "region");
    require_text(loaded.data_centre, "data_centre");
    loaded.admin_listen = absl::GetFlag(FLAGS_admin_listen).value;
    loaded.peer_listen = absl::GetFlag(FLAGS_peer_listen).value;
    loaded.platform = absl::GetFlag(FLAGS_platform).value;
    require_text(loaded.platform.address, "platform");
    loaded.peer_secret = absl::GetFlag(FLAGS_peer_secret);
    loaded.first_fleet = absl::GetFlag(FLAGS_first_fleet);
    loaded.relay = load_relay();
    loaded.drain_delay =
        positive(absl::GetFlag(FLAGS_drain_delay), "drain_delay");
    loaded.drain_limit =
        positive(absl::GetFlag(FLAGS_drain_limit), "drain_limit");
    loaded.watch_wait = positive(absl::GetFlag(FLAGS_watch_wait), "watch_wait");
    return loaded;
}

} // namespace caperjunction::program
