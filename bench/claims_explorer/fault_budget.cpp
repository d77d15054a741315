#include "bench/claims_explorer/fault_budget.hpp"

namespace caperjunction::claims_explorer {

std::vector<fault_profile> fault_profiles(bool full)
{
    constexpr double s_half = 1.0 / 2.0;
    constexpr double s_sixth = 1.0 / 6.0;
    std::vector<fault_profile> profiles{
        {"messages", {.drops = 1, .holds = 1, .resends = 0}},
        {"lists", {.lists = 1, .resends = 0}, s_half},
        {"crashes", {.crashes = 1, .restarts = 1, .resends = 0}},
        {"pauses", {.leaps = 1, .pauses = 1, .resends = 0}, s_half},
        {"stops", {.leaves = 1, .resends = 0}},
    };
    if (!full) {
        return profiles;
    }
    std::vector<fault_profile> const larger{
        {"messages twice", {.drops = 1, .holds = 1, .duplicates = 1}, s_sixth},
        {"three lists", {.holds = 1, .lists = 2, .resends = 0}, s_sixth},
        {"two crashes", {.crashes = 2, .restarts = 2}, s_sixth},
        {"two pauses",
         {.holds = 1, .leaps = 2, .pauses = 1, .resends = 0},
         s_sixth},
        {"two stops",
         {.holds = 1, .duplicates = 1, .leaves = 2, .resends = 0},
         s_sixth},
        {"lists and crashes",
         {.crashes = 1, .restarts = 1, .lists = 1, .resends = 0},
         s_sixth},
        {"lists and pauses",
         {.leaps = 1, .pauses = 1, .lists = 1, .resends = 0},
         s_sixth},
        {"stops and crashes",
         {.crashes = 1, .restarts = 1, .leaves = 1},
         s_sixth},
    };
    profiles.insert(profiles.end(), larger.begin(), larger.end());
    return profiles;
}

fault_budget order_budget(bool full)
{
    if (!full) {
        return {.leaps = 2, .pauses = 1, .lists = 1, .resends = 2};
    }
    return {.crashes = 1,
            .restarts = 1,
            .leaps = 3,
            .pauses = 2,
            .lists = 2,
            .resends = 3};
}

} // namespace caperjunction::claims_explorer
