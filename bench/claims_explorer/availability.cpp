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
    bool hands_over;
};

/// A running fleet and the chance that drives its faults.
struct run
{
    run(design const& what, std::uint64_t seed)
        : fleet(settings_of(what), seed)
        , random(seed)
    {
        fleet.hands_over = what.hands_over;
        for (std::size_t index = 0; index < host_count; ++index) {
            fleet.start(host(index), true);
        }
        fleet.pass();
    }

    static fleet::claim_settings settings_of(design const& what)
    {
        fleet::claim_settings settings;
        settings.witnesses = what.witnesses;
        settings.pause_limit = 3 * booking_fleet::period;
        return settings;
    }

    // Three, two and two hosts in data centres 0, 1 and 2; 2 is the other
    // region.
    static model::host host(std::size_t index)
    {
        model::host result;
        result.name = "host-" + std::to_string(index);
        std::size_t const place = index % host_count;
        std::size_t const centre = place < 3 ? 0 : (place < 5 ? 1 : 2);
        result.data_centre = "data-centre-" + std::to_string(centre);
        return result;
    }

    void pass(model::milliseconds by)
    {
        for (auto left = by; left > by.zero(); left -= booking_fleet::period) {
            fleet.pass();
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

// Each host fails 0.25 and is replaced 2.25 times a day.
void ordinary_days(run& one)
{
    constexpr double s_crashes = 0.25 * host_count;
    constexpr double s_replacements = 2.25 * host_count;
    constexpr int s_days = 30;
    std::size_t next = host_count;
    std::vector<std::size_t> up{0, 1, 2, 3, 4, 5, 6};
    for (auto left = model::milliseconds(hours(24 * s_days));
         left > left.zero();
         left -= booking_fleet::period) {
        one.fleet.pass();
        bool const crashes = one.happens(s_crashes);
        if (!crashes && !one.happens(s_replacements)) {
            continue;
        }
        std::size_t& place = up[one.random() % up.size()];
        auto const name = run::host(place).name;
        if (crashes) {
            one.fleet.crash(name);
            one.pass(list_lag);
            one.fleet.unlist(name);
            one.pass(minutes(1));
            one.fleet.start(run::host(place), false);
        } else {
            auto const fresh = place % host_count + host_count * next++;
            one.fleet.start(run::host(fresh), false);
            one.pass(minutes(1));
            one.fleet.plan_stop(name);
            one.pass(minutes(1));
            one.fleet.unlist(name);
            one.fleet.crash(name);
            place = fresh;
        }
    }
}

void crash_some(run& one, std::size_t first, std::size_t end)
{
    for (std::size_t index = first; index < end; ++index) {
        one.fleet.crash(run::host(index).name);
    }
    one.pass(list_lag);
    for (std::size_t index = first; index < end; ++index) {
        one.fleet.unlist(run::host(index).name);
    }
}

void lost_data_centre(run& one)
{
    crash_some(one, 0, 3);
    one.pass(hours(3));
}

void three_crashes_and_restarts(run& one)
{
    for (std::size_t index : {0U, 3U, 5U}) {
        crash_some(one, index, index + 1);
        one.pass(minutes(1));
        one.fleet.start(run::host(index), false);
        one.pass(minutes(20));
    }
    one.pass(hours(2));
}

void cut_regions(run& one)
{
    auto const far = [](std::string const& name) {
        return name == "host-5" || name == "host-6";
    };
    one.fleet.reaches = [far](auto const& from, auto const& to) {
        return far(from) == far(to);
    };
    one.pass(hours(1));
    one.fleet.reaches = [](auto const&, auto const&) {
        return true;
    };
    one.pass(hours(2));
}

void service_down(run& one)
{
    one.fleet.service_up = false;
    one.pass(hours(1));
    one.fleet.service_up = true;
    one.pass(hours(2));
}

void rolling_replacement(run& one)
{
    for (std::size_t index = 0; index < host_count; ++index) {
        one.fleet.start(run::host(index + host_count), false);
        one.pass(minutes(1));
        one.fleet.plan_stop(run::host(index).name);
        one.pass(minutes(1));
        one.fleet.unlist(run::host(index).name);
        one.fleet.crash(run::host(index).name);
    }
    one.pass(hours(3) - minutes(2) * host_count);
}

void all_crash(run& one)
{
    crash_some(one, 0, host_count);
    for (std::size_t index = 0; index < host_count; ++index) {
        one.fleet.start(run::host(index), false);
    }
    one.pass(hours(3));
}

struct history
{
    std::string name;
    std::function<void(run&)> play;
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
            run one(how, seed);
            what.play(one);
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
