#ifndef CAPERJUNCTION_LISTS_PLAN_HPP
#define CAPERJUNCTION_LISTS_PLAN_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::lists {

/// Bounds on what one team may ask for; 0 means no bound.
struct usage_limits
{
    double requests_per_second = 0.0;
    double tokens_per_second = 0.0;
    std::uint32_t concurrent_requests = 0;

    friend bool operator==(usage_limits const&, usage_limits const&) = default;
};

/// What a customer buys: classes of service and limits for each team.
struct plan
{
    std::string name;
    /// Classes that a caller may name; the first is the default.
    std::vector<std::string> classes;
    usage_limits team_limits;

    friend bool operator==(plan const&, plan const&) = default;
};

} // namespace caperjunction::lists

#endif
