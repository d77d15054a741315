#include "bench/policy_bench/scenario.hpp"

#include "model/error.hpp"

#include <algorithm>

namespace caperjunction::bench {
namespace {

std::vector<scenario> make_all()
{
    std::vector<scenario> all(8);
    all[0].name = "steady";
    all[1].name = "burst";
    all[1].burst = 5.0;
    all[2].name = "skew";
    all[2].flood = 4.0;
    all[3].name = "slow_engine";
    all[3].slowdown = 4.0;
    all[3].until = scenario::seconds{90};
    all[4].name = "mixed_lengths";
    all[4].mixed_lengths = true;
    all[5].name = "saturation";
    all[5].length = scenario::seconds{300};
    all[5].load_of_capacity = 1.5;
    all[6].name = "killer_request";
    all[6].killer = true;
    all[7].name = "region_cut";
    all[7].cut = true;
    return all;
}

} // namespace

scenario make_scenario(std::string_view name)
{
    auto const all = make_all();
    auto const found =
        std::find_if(all.begin(), all.end(), [name](scenario const& one) {
            return one.name == name;
        });
    if (found == all.end()) {
        throw model::error(model::error_kind::bad_settings,
                           "there is no scenario '" + std::string(name) + "'",
                           "use a name that --list prints");
    }
    return *found;
}

std::vector<std::string> scenario_names()
{
    std::vector<std::string> names;
    for (scenario const& one : make_all()) {
        names.push_back(one.name);
    }
    return names;
}

} // namespace caperjunction::bench
