#include "bench/policy_bench/policy.hpp"

#include "bench/policy_bench/baselines.hpp"
#include "model/error.hpp"

#include <memory>

namespace caperjunction::bench {
namespace {

policy make_caperjunction(decide::router_settings const& settings)
{
    auto const router = std::make_shared<decide::router>(settings);
    return {[router](decide::event const& event,
                     model::time_point now,
                     std::vector<decide::decision>& out) {
                router->handle(event, now, out);
            },
            [router](model::time_point now) {
                return router->digest(now);
            }};
}

} // namespace

policy_maker find_policy(std::string_view name)
{
    if (name == "caperjunction") {
        return make_caperjunction;
    }
    if (name == "round_robin") {
        return make_round_robin;
    }
    if (name == "least_outstanding") {
        return make_least_outstanding;
    }
    if (name == "strict_priority") {
        return make_strict_priority;
    }
    throw model::error(model::error_kind::bad_settings,
                       "there is no policy '" + std::string(name) + "'",
                       "use a name that --list prints");
}

std::vector<std::string> policy_names()
{
    return {
        "caperjunction", "round_robin", "least_outstanding", "strict_priority"};
}

} // namespace caperjunction::bench
