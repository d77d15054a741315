#include "bench/claims_explorer/step.hpp"

#include <fmt/format.h>

#include <array>

namespace caperjunction::claims_explorer {

std::string describe(step const& what)
{
    static constexpr std::array s_names{"deliver",
                                        "deliver_twice",
                                        "hold",
                                        "drop",
                                        "start",
                                        "dispatch_runs",
                                        "dispatch_refused",
                                        "end",
                                        "publish",
                                        "adopt",
                                        "adopt_newest",
                                        "leave",
                                        "crash",
                                        "restart",
                                        "leap",
                                        "wake",
                                        "confirm"};
    auto const* name = s_names[static_cast<std::size_t>(what.kind)];
    if (what.host == step::no_host) {
        return fmt::format("{} {}", name, what.index);
    }
    return fmt::format("{} {} asleep={}", name, what.index, what.host);
}

} // namespace caperjunction::claims_explorer
