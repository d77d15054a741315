#include "bench/claims_explorer/report.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace caperjunction::claims_explorer {

namespace {

search_result sum_of(std::vector<profile_result> const& results)
{
    search_result sum;
    for (auto const& one : results) {
        sum.states += one.result.states;
        sum.runs_twice += one.result.runs_twice;
        sum.false_not_run += one.result.false_not_run;
        sum.stale_orders += one.result.stale_orders;
        sum.stuck += one.result.stuck;
        sum.settled += one.result.settled;
        sum.exhaustive = sum.exhaustive && one.result.exhaustive;
        if (sum.history.empty()) {
            sum.history = one.result.history;
        }
    }
    return sum;
}

nlohmann::ordered_json to_json(search_result const& result)
{
    return {{"states", result.states},
            {"runs_twice", result.runs_twice},
            {"false_not_run", result.false_not_run},
            {"stuck", result.stuck},
            {"stale_orders", result.stale_orders},
            {"settled", result.settled},
            {"exhaustive", result.exhaustive}};
}

std::string line(std::string const& name, search_result const& result)
{
    return fmt::format(
        "{:<20} {:>10} {:>10} {:>13} {:>7} {:>12} {:>9} {:>10}\n",
        name,
        result.states,
        result.runs_twice,
        result.false_not_run,
        result.stuck,
        result.stale_orders,
        result.settled,
        result.exhaustive ? "yes" : "no");
}

} // namespace

std::string report_json(std::vector<profile_result> const& results)
{
    search_result const sum = sum_of(results);
    auto json = to_json(sum);
    for (auto const& one : results) {
        json["profiles"][one.name] = to_json(one.result);
    }
    for (auto const& what : sum.history) {
        json["history"].push_back(describe(what));
    }
    return json.dump() + "\n";
}

std::string report_table(std::vector<profile_result> const& results)
{
    std::string text =
        fmt::format("{:<20} {:>10} {:>10} {:>13} {:>7} {:>12} {:>9} {:>10}\n",
                    "profile",
                    "states",
                    "runs_twice",
                    "false_not_run",
                    "stuck",
                    "stale_orders",
                    "settled",
                    "exhaustive");
    for (auto const& one : results) {
        text += line(one.name, one.result);
    }
    search_result const sum = sum_of(results);
    text += line("all", sum);
    for (auto const& what : sum.history) {
        text += describe(what) + "\n";
    }
    return text;
}

} // namespace caperjunction::claims_explorer
