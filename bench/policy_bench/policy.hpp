#ifndef CAPERJUNCTION_BENCH_POLICY_HPP
#define CAPERJUNCTION_BENCH_POLICY_HPP

#include "decide/decision.hpp"
#include "decide/event.hpp"
#include "decide/router.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::bench {

/// Decision logic of one host. A policy only gets its settings and events, and
/// both are copies: it has no access to an engine, a caller or another host.
struct policy
{
    std::function<void(decide::event const&,
                       model::time_point,
                       std::vector<decide::decision>&)>
        handle;
    std::function<std::vector<std::uint8_t>(model::time_point)> digest;
};

/// Creates the policy of one host.
using policy_maker = std::function<policy(decide::router_settings const&)>;

/// \throws model::error if there is no policy of that name.
policy_maker find_policy(std::string_view name);

std::vector<std::string> policy_names();

} // namespace caperjunction::bench

#endif
