#include "bench/claims_explorer/availability.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <random>

namespace caperjunction::claims_explorer {

namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr std::size_t host_count = 7;
constexpr model::milliseconds list_lag{10'000};

struct design
{
    std::string name;
    std::uint32_t witnesses;
    bool hand_over_enabled;
};

/// A fleet and the random source of its faults.
struct fleet_run
{
    fleet_run(design const& what, std::uint64_t seed)
        : fleet(settings_of(what), seed)
        , random(seed)
    {
        fleet.hand_over_enabled = what.hand_over_enabled;
        for (std::size_t index = 0; index < host_count; ++index) {
            fleet.start(host(index), true);
        }
        fleet.advance();
    }

    static fleet::claim_settings settings_of(design const& what)
    {
        fleet::claim_settings settings;
        settings.witnesses = what.witnesses;
        settings.pause_limit = 3 * booking_fleet::period;
        return settings;
    }

    // Data centres 0, 1 and 2 have three, two and two hosts; data centre 2 is
    // in the other region.
    static model::host host(std::size_t index)
    {
        model::host result;
        result.name = "host-" + std::to_string(index);
        std::size_t const place = index % host_count;
        std::size_t const centre = place < 3 ? 0 : (place < 5 ? 1 : 2);
        result.data_centre = "data-centre-" + std::to_string(centre);
        return result;
    }

    void advance(model::milliseconds by)
    {
        for (auto left = by; left > by.zero(); left -= booking_fleet::period) {
            fleet.advance();
        }
    }

    bool happens(double each_day)
    {
        model::seconds const day = hours(24);
        double const chance = each_day
                              * model::seconds(booking_fleet::period).count()
                              / day.count();
        return std::uniform_real_distribution<double>(0.0, 1.0)(random)
               < chance;
    }

    booking_fleet fleet;
    std::mt19937_64 random;
};

// Each host crashes 0.25 times and is replaced 2.25 times per day.
void ordinary_days(fleet_run& one)
{
    constexpr double s_crashes = 0.25 * host_count;
    constexpr double s_replacements = 2.25 * host_count;
    constexpr int s_days = 30;
    std::size_t next = host_count;
    std::vector<std::size_t> up{0, 1, 2, 3, 4, 5, 6};
    for (auto left = model::milliseconds(hours(24 * s_days));
         left > left.zero();
         left -= booking_fleet::period) {
        one.fleet.advance();
        bool const crashes = one.happens(s_crashes);
        if (!crashes && !one.happens(s_replacements)) {
            continue;
        }
        std::size_t& place = up[one.random() % up.size()];
        auto const name = fleet_run::host(place).name;
        if (crashes) {
            one.fleet.crash(name);
            one.advance(list_lag);
            one.fleet.unlist(name);
            one.advance(minutes(1));
            one.fleet.start(fleet_run::host(place), false);
        } else {
            auto const fresh = place % host_count + host_count * next++;
            one.fleet.start(fleet_run::host(fresh), false);
            one.advance(minutes(1));
            one.fleet.plan_stop(name);
            one.advance(minutes(1));
            one.fleet.unlist(name);
            one.fleet.crash(name);
            place = fresh;
        }
    }
}

void crash_some(fleet_run& one, std::size_t first, std::size_t end)
{
    for (std::size_t index = first; index < end; ++index) {
        one.fleet.crash(fleet_run::host(index).name);
    }
    one.advance(list_lag);
    for (std::size_t index = first; index < end; ++index) {
        one.fleet.unlist(fleet_run::host(index).name);
    }
}

void lost_data_centre(fleet_run& one)
{
    crash_some(one, 0, 3);
    one.advance(hours(3));
}

void three_crashes_and_restarts(fleet_run& one)
{
    for (std::size_t index : {0U, 3U, 5U}) {
        crash_some(one, index, index + 1);
        one.advance(minutes(1));
        one.fleet.start(fleet_run::host(index), false);
        one.advance(minutes(20));
    }
    one.advance(hours(2));
}

void cut_regions(fleet_run& one)
{
    auto const far = [](std::string const& name) {
        return name == "host-5" || name == "host-6";
    };
    one.fleet.can_reach = [far](auto const& from, auto const& to) {
        return far(from) == far(to);
    };
    one.advance(hours(1));
    one.fleet.can_reach = [](auto const&, auto const&) {
        return true;
    };
    one.advance(hours(2));
}

void service_down(fleet_run& one)
{
    one.fleet.service_up = false;
    one.advance(hours(1));
    one.fleet.service_up = true;
    one.advance(hours(2));
}

void rolling_replacement(fleet_run& one)
{
    for (std::size_t index = 0; index < host_count; ++index) {
        one.fleet.start(fleet_run::host(index + host_count), false);
        one.advance(minutes(1));
        one.fleet.plan_stop(fleet_run::host(index).name);
        one.advance(minutes(1));
        one.fleet.unlist(fleet_run::host(index).name);
        one.fleet.crash(fleet_run::host(index).name);
    }
    one.advance(hours(3) - minutes(2) * host_count);
}

void all_crash(fleet_run& one)
{
    crash_some(one, 0, host_count);
    for (std::size_t index = 0; index < host_count; ++index) {
        one.fleet.start(fleet_run::host(index), false);
    }
    one.advance(hours(3));
}

struct history
{
    std::string name;
    std::function<void(fleet_run&)> execute;
};

} // namespace

std::vector<availability_result> measure_availability(std::uint64_t seed,
                                                      std::string_view only)
{
    std::vector<design> const designs{{"votes, 3 of 5", 5, true},
                                      {"one owner", 1, true},
                                      {"one owner, no hand-over", 1, false}};
    std::vector<history> const histories{
        {"30 ordinary days", ordinary_days},
        {"data centre of 3 hosts lost, 3 h", lost_data_centre},
        {"3 crashes in an hour, 3 h", three_crashes_and_restarts},
        {"regions cut for 1 h of 3 h", cut_regions},
        {"service down for 1 h of 3 h", service_down},
        {"rolling replacement, 3 h", rolling_replacement},
        {"all crash at once, 3 h", all_crash}};
    std::vector<availability_result> results;
    for (auto const& what : histories) {
        for (auto const& how : designs) {
            if (what.name.compare(0, only.size(), only) != 0) {
                continue;
            }
            fleet_run one(how, seed);
            what.execute(one);
            results.push_back({what.name, how.name, one.fleet.count()});
        }
    }
    return results;
}

std::string report_availability(std::vector<availability_result> const& results,
                                bool as_json)
{
    auto json = nlohmann::ordered_json::array();
    std::string text = fmt::format("{:<34} {:<24} {:>7} {:>7} {:>10}\n",
                                   "history",
                                   "design",
                                   "asked",
                                   "ran",
                                   "share");
    for (auto const& one : results) {
        auto const asked = static_cast<double>(one.count.asked);
        double const share = static_cast<double>(one.count.ran) / asked;
        text += fmt::format("{:<34} {:<24} {:>7} {:>7} {:>10.5f}\n",
                            one.history,
                            one.design,
                            one.count.asked,
                            one.count.ran,
                            share);
        json.push_back({{"history", one.history},
                        {"design", one.design},
                        {"asked", one.count.asked},
                        {"ran", one.count.ran},
                        {"share", share}});
    }
    return as_json ? json.dump() + "\n" : text;
}

} // namespace caperjunction::claims_explorer
