#ifndef CAPERJUNCTION_LISTS_PLAN_HPP
#define CAPERJUNCTION_LISTS_PLAN_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::lists {

/// Usage limits of one team; 0 means unlimited.
struct usage_limits
{
    double requests_per_second = 0.0;
    double tokens_per_second = 0.0;
    std::uint32_t concurrent_requests = 0;

    friend bool operator==(usage_limits const&, usage_limits const&) = default;
};

/// Service classes and per-team limits that a customer buys.
struct plan
{
    std::string name;
    /// Service classes that a caller may request; the first is the default.
    std::vector<std::string> classes;
    usage_limits team_limits;

    friend bool operator==(plan const&, plan const&) = default;
};

} // namespace caperjunction::lists

#endif
