#include "bench/fleet_bench/bench_lists.hpp"
#include "bench/fleet_bench/fleet_scenarios.hpp"
#include "net/peer_codec.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <ctime>

namespace caperjunction::bench {
namespace {

constexpr std::chrono::seconds load_time{30};

struct load
{
    double messages = 0.0;
    double bytes = 0.0;
    double max_bytes = 0.0;
    double config_bytes = 0.0;
    double digest_bytes = 0.0;
    double cpu_seconds = 0.0;
};

double process_time()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

bool is_configuration(std::size_t type)
{
    fleet::peer_message const announce = fleet::config_announce{};
    fleet::peer_message const fetch = fleet::config_fetch{};
    fleet::peer_message const value = fleet::config_value{};
    return type == announce.index() || type == fetch.index()
           || type == value.index();
}

/// Runs for `load_time` and returns the traffic of the hosts.
load run_load(std::size_t hosts,
              bool use_deltas,
              bool count_bytes,
              bench_options const& options)
{
    virtual_fleet_settings settings;
    settings.agent.configuration.use_deltas = use_deltas;
    settings.digest_bytes = options.digest_bytes;
    if (count_bytes) {
        settings.size_of = [](fleet::peer_message const& message) {
            return net::encode(message).size();
        };
    }
    auto const fleet = make_fleet(hosts, settings, options);
    auto const before = fleet->hosts().size();
    for (auto const& [name, host] : fleet->hosts()) {
        virtual_host& counted = fleet->host(name);
        counted.messages_sent = 0;
        counted.bytes_sent = 0;
        counted.bytes_by_type.clear();
    }
    bench_lists lists(options.teams, options.seed);
    double const cpu = process_time();
    double due = 0.0;
    for (auto passed = model::milliseconds(0); passed < load_time;
         passed += model::milliseconds(100)) {
        due += options.changes_per_second / 10;
        if (due >= 1.0) {
            due -= 1.0;
            lists.change_one_key();
            fleet->publish(fleet::published_value::plans, lists.plans());
        }
        fleet->run_for(model::milliseconds(100));
    }
    load sum;
    fleet::peer_message const digest = fleet::load_digest{};
    double const host_seconds =
        static_cast<double>(before) * static_cast<double>(load_time.count());
    sum.cpu_seconds = (process_time() - cpu) / host_seconds;
    for (auto const& [name, host] : fleet->hosts()) {
        auto const bytes = static_cast<double>(host.bytes_sent);
        sum.messages += static_cast<double>(host.messages_sent) / host_seconds;
        sum.bytes += bytes / host_seconds;
        sum.max_bytes = std::max(
            sum.max_bytes, bytes / static_cast<double>(load_time.count()));
        for (auto const& [type, part] : host.bytes_by_type) {
            double const rate = static_cast<double>(part) / host_seconds;
            sum.config_bytes += is_configuration(type) ? rate : 0.0;
            sum.digest_bytes += type == digest.index() ? rate : 0.0;
        }
    }
    return sum;
}

} // namespace

void measure_load(std::size_t hosts,
                  bool use_deltas,
                  bench_options const& options,
                  std::vector<figure>& figures)
{
    load const sent = run_load(hosts, use_deltas, true, options);
    // Counting bytes encodes each message a second time, so processor time is
    // measured in a separate run without it.
    load const uncounted = run_load(hosts, use_deltas, false, options);
    auto const setting = fmt::format("{} changes/s of {} teams, digest {} B{}",
                                     options.changes_per_second,
                                     options.teams,
                                     options.digest_bytes,
                                     use_deltas ? "" : ", no splices");
    auto const add = [&](char const* name, double value, char const* unit) {
        figures.push_back({"load", hosts, setting, name, value, unit});
    };
    add("messages sent", sent.messages, "1/s/host");
    add("bytes sent", sent.bytes, "B/s/host");
    add("bytes sent, busiest host", sent.max_bytes, "B/s");
    add("of it configuration", sent.config_bytes, "B/s/host");
    add("of it digests", sent.digest_bytes, "B/s/host");
    constexpr double percent = 100.0;
    add("processor time", uncounted.cpu_seconds * percent, "% of a core/host");
}

} // namespace caperjunction::bench
