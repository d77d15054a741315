#include "model/error.hpp"
#include "stand_ins/engine.hpp"
#include "stand_ins/platform.hpp"
#include "stand_ins/service.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/numbers.h>
#include <event2/event.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>

ABSL_FLAG(std::string,
          listen,
          "127.0.0.1:0",
          "address:port; port 0: any free port");
ABSL_FLAG(std::string, name, "stand-in-1", "name in load reports and answers");
ABSL_FLAG(std::string, plans, "", "platform: path of the plans");
ABSL_FLAG(std::string, entitlements, "", "platform: path of the entitlements");
ABSL_FLAG(std::string, hosts, "", "platform: path of the hosts");
ABSL_FLAG(std::string, upstreams, "", "platform: path of the upstreams");
ABSL_FLAG(std::uint32_t, calls_per_second, 2000, "platform: call limit");
ABSL_FLAG(std::uint64_t,
          weights_bytes_per_second,
          caperjunction::stand_ins::default_weights_rate,
          "platform: bandwidth of the weights store");
ABSL_FLAG(std::vector<std::string>, models, {"drafter"}, "engine: models");
ABSL_FLAG(std::uint32_t, slots, 8, "engine: concurrent answers");
ABSL_FLAG(double, tokens_per_second, 50, "engine: per answer; 0: no limit");
ABSL_FLAG(std::uint32_t, first_token_ms, 50, "engine: time to first token");
ABSL_FLAG(std::uint32_t, burst_events, 1, "engine: tokens per write");
ABSL_FLAG(std::uint32_t, cache_blocks, 1024, "engine: prefix cache size");
ABSL_FLAG(std::uint32_t, report_lag_ms, 0, "engine: age of reported load");
ABSL_FLAG(std::uint32_t, restart_ms, 200, "engine: restart time");
ABSL_FLAG(bool, checks_fencing, false, "engine: refuse old fencing numbers");
ABSL_FLAG(std::uint32_t, delay_ms, 0, "service: execution delay");

namespace caperjunction::stand_ins {
namespace {

struct base_deleter
{
    void operator()(event_base* base) const
    {
        event_base_free(base);
    }
};

model::error bad_setting(std::string const& message, char const* remedy)
{
    return {model::error_kind::bad_settings, message, remedy};
}

model::endpoint parse_listen(std::string const& text)
{
    auto const colon = text.rfind(':');
    std::uint32_t port = 0;
    bool const is_valid = colon != std::string::npos
                          && absl::SimpleAtoi(text.substr(colon + 1), &port)
                          && port <= UINT16_MAX;
    if (!is_valid) {
        throw bad_setting("--listen=" + text + " is not ADDRESS:PORT",
                          "use for example --listen=127.0.0.1:0");
    }
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        throw bad_setting("cannot read " + path, "specify a readable file");
    }
    return text.str();
}

platform_settings make_platform_settings()
{
    platform_settings settings;
    settings.listen = parse_listen(absl::GetFlag(FLAGS_listen));
    settings.calls_per_second = absl::GetFlag(FLAGS_calls_per_second);
    settings.weights_bytes_per_second =
        absl::GetFlag(FLAGS_weights_bytes_per_second);
    std::map<std::string, std::string> const files{
        {"plans", absl::GetFlag(FLAGS_plans)},
        {"entitlements", absl::GetFlag(FLAGS_entitlements)},
        {"hosts", absl::GetFlag(FLAGS_hosts)},
        {"upstreams", absl::GetFlag(FLAGS_upstreams)}};
    for (auto const& [name, path] : files) {
        if (!path.empty()) {
            settings.values[name] = read_file(path);
        }
    }
    return settings;
}

engine_settings make_engine_settings()
{
    using std::chrono::milliseconds;
    engine_settings settings;
    settings.listen = parse_listen(absl::GetFlag(FLAGS_listen));
    settings.name = absl::GetFlag(FLAGS_name);
    settings.models = absl::GetFlag(FLAGS_models);
    settings.slots = absl::GetFlag(FLAGS_slots);
    settings.tokens_per_second = absl::GetFlag(FLAGS_tokens_per_second);
    settings.first_token_delay =
        milliseconds(absl::GetFlag(FLAGS_first_token_ms));
    settings.burst_events = absl::GetFlag(FLAGS_burst_events);
    settings.cache_blocks = absl::GetFlag(FLAGS_cache_blocks);
    settings.report_lag = milliseconds(absl::GetFlag(FLAGS_report_lag_ms));
    settings.restart_delay = milliseconds(absl::GetFlag(FLAGS_restart_ms));
    settings.checks_fencing = absl::GetFlag(FLAGS_checks_fencing);
    return settings;
}

service_settings make_service_settings()
{
    service_settings settings;
    settings.listen = parse_listen(absl::GetFlag(FLAGS_listen));
    settings.name = absl::GetFlag(FLAGS_name);
    settings.delay = std::chrono::milliseconds(absl::GetFlag(FLAGS_delay_ms));
    return settings;
}

/// Prints the listening address, then serves until SIGTERM or SIGINT.
void serve(event_base* base, model::endpoint const& address)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto const stop = [](evutil_socket_t, short, void* loop) {
        event_base_loopbreak(static_cast<event_base*>(loop));
    };
    event* const term = evsignal_new(base, SIGTERM, stop, base);
    event* const interrupt = evsignal_new(base, SIGINT, stop, base);
    evsignal_add(term, nullptr);
    evsignal_add(interrupt, nullptr);
    fmt::print(
        "event=listening address={} port={}\n", address.address, address.port);
    std::fflush(stdout);
    event_base_dispatch(base);
    event_free(term);
    event_free(interrupt);
}

int run(std::string const& kind)
{
    std::unique_ptr<event_base, base_deleter> const base(event_base_new());
    if (kind == "platform") {
        platform stand_in(base.get(), make_platform_settings());
        serve(base.get(), stand_in.address());
    } else if (kind == "engine") {
        engine stand_in(base.get(), make_engine_settings());
        serve(base.get(), stand_in.address());
    } else if (kind == "service") {
        service stand_in(base.get(), make_service_settings());
        serve(base.get(), stand_in.address());
    } else {
        throw bad_setting("'" + kind + "' is not a kind of stand-in",
                          "specify engine, service or platform");
    }
    return 0;
}

} // namespace
} // namespace caperjunction::stand_ins

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("stand_in engine|service|platform [flags]");
    auto const arguments = absl::ParseCommandLine(argc, argv);
    try {
        return caperjunction::stand_ins::run(arguments.size() > 1 ? arguments[1]
                                                                  : "");
    } catch (caperjunction::model::error const& failure) {
        fmt::print(stderr,
                   "event=failed message=\"{}\" remedy=\"{}\"\n",
                   failure.what(),
                   failure.remedy());
        return 2;
    }
}
