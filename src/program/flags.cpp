#include "program/flags.hpp"

#include "program/flag_checks.hpp"

#include <absl/flags/flag.h>
#include <absl/time/time.h>

#include <cstdint>

using caperjunction::program::endpoint_flag;

ABSL_FLAG(std::string,
          config,
          "",
          "A file of flags, one --name=value a line; what the environment and "
          "the command line say wins. Read anew on SIGHUP");
ABSL_FLAG(std::string,
          host_name,
          "",
          "This host's name in the platform's list");
ABSL_FLAG(std::string, region, "", "The region that this host stands in");
ABSL_FLAG(std::string, data_centre, "", "The data centre it stands in");
ABSL_FLAG(
    endpoint_flag,
    listen,
    (endpoint_flag{{"127.0.0.1", 8080}}),
    "Where callers are served, ADDRESS:PORT; port 0 lets the kernel choose");
ABSL_FLAG(endpoint_flag,
          admin_listen,
          (endpoint_flag{{"127.0.0.1", 8081}}),
          "Where operators and metrics are served; never open it to callers");
ABSL_FLAG(endpoint_flag,
          peer_listen,
          (endpoint_flag{{"127.0.0.1", 8082}}),
          "Where the other hosts reach this one");
ABSL_FLAG(endpoint_flag,
          platform,
          endpoint_flag{},
          "The platform's configuration service, ADDRESS:PORT; required");
ABSL_FLAG(std::string,
          peer_secret,
          "",
          "Secret shared by all hosts; better set in the environment, since a "
          "command line can be read by other users of the machine");
ABSL_FLAG(
    bool,
    first_fleet,
    false,
    "Set only at the first start of the whole fleet, when no booking of an "
    "earlier one can be sent again; without it, bookings wait until the "
    "hosts' memory is known to be complete");
ABSL_FLAG(std::uint32_t,
          max_requests,
          20'000,
          "Requests served side by side; one more is refused");
ABSL_FLAG(std::uint32_t,
          max_body_bytes,
          8U * 1024U * 1024U,
          "Longest body of a request, in bytes");
ABSL_FLAG(absl::Duration,
          caller_timeout,
          absl::Seconds(30),
          "Time within which a caller must send its whole request");
ABSL_FLAG(absl::Duration,
          connect_timeout,
          absl::Seconds(1),
          "Longest time until a connection to an upstream stands");
ABSL_FLAG(absl::Duration,
          first_byte_timeout,
          absl::Seconds(30),
          "Longest time until an upstream begins its answer");
ABSL_FLAG(absl::Duration,
          progress_timeout,
          absl::Seconds(10),
          "Longest silence within an upstream's answer");
ABSL_FLAG(absl::Duration,
          drain_delay,
          absl::Seconds(5),
          "At a planned stop: time for the balancer to notice, in which new "
          "requests are still served");
ABSL_FLAG(absl::Duration,
          drain_limit,
          absl::Minutes(10),
          "At a planned stop: longest wait for running answers");
ABSL_FLAG(absl::Duration,
          watch_wait,
          absl::Seconds(10),
          "Longest time that a watch waits at the platform's service");
ABSL_FLAG(endpoint_flag,
          admin,
          (endpoint_flag{{"127.0.0.1", 8081}}),
          "explain, status: admin address of the host that is asked");
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
