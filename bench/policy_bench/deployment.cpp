#include "bench/policy_bench/deployment.hpp"

#include "bench/policy_bench/deployments.hpp"
#include "model/error.hpp"

#include <algorithm>

namespace caperjunction::bench {
namespace {

std::size_t index_of(std::vector<std::string> const& names,
                     std::string const& name)
{
    auto const found = std::find(names.begin(), names.end(), name);
    return static_cast<std::size_t>(found - names.begin());
}

} // namespace

place deployment::place_of(std::string const& region,
                           std::string const& data_centre) const
{
    return {index_of(regions, region), index_of(data_centres, data_centre)};
}

lists::service_class const& deployment::class_of(std::size_t load) const
{
    return *catalogue->find_class(loads[load].service_class);
}

lists::tier const& deployment::tier_of(std::size_t load) const
{
    return *catalogue->find_tier(class_of(load).tier);
}

double deployment::engine_seconds(double prompt_tokens,
                                  double output_tokens) const
{
    return prompt_tokens * engine.prompt_token_cost().count()
           + output_tokens * engine.output_token_cost().count();
}

double deployment::work(double prompt_tokens, double output_tokens) const
{
    return engine_seconds(prompt_tokens, output_tokens)
           / engine.output_token_cost().count();
}

double deployment::capacity() const
{
    return static_cast<double>(upstreams.engines.size())
           / engine.output_token_cost().count();
}

deployment make_deployment(std::string_view name)
{
    if (name == "kitanomine") {
        return make_kitanomine();
    }
    if (name == "gangasagar") {
        return make_gangasagar();
    }
    throw model::error(model::error_kind::bad_settings,
                       "there is no deployment '" + std::string(name) + "'",
                       "use kitanomine or gangasagar");
}

std::vector<std::string> deployment_names()
{
    return {"kitanomine", "gangasagar"};
}

} // namespace caperjunction::bench
