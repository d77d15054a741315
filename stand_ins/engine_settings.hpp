#ifndef CAPERJUNCTION_STAND_INS_ENGINE_SETTINGS_HPP
#define CAPERJUNCTION_STAND_INS_ENGINE_SETTINGS_HPP

#include "model/endpoint.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::stand_ins {

/// Settings of the engine stand-in.
struct engine_settings
{
    model::endpoint listen{"127.0.0.1", 0};
    std::string name = "engine-1";
    std::vector<std::string> models{"drafter"};
    /// Maximum concurrent answers; other requests wait by priority.
    std::uint32_t slots = 8;
    /// Rate of each answer. 0: as fast as the client reads.
    double tokens_per_second = 50.0;
    /// Time to the first token when no part of the prompt is cached.
    std::chrono::milliseconds first_token_delay{50};
    /// Tokens sent in one write.
    std::uint32_t burst_events = 1;
    /// Capacity of the prefix cache in prompt blocks.
    std::size_t cache_blocks = 1024;
    /// Age of the reported load.
    std::chrono::milliseconds report_lag{0};
    /// Delay until a cache event becomes readable.
    std::chrono::milliseconds cache_event_lag{100};
    /// Every n-th cache event is lost; 0: none.
    std::uint32_t cache_event_gap = 10;
    /// Whether orders with an outdated fencing number are refused.
    bool checks_fencing = false;
    /// Time after a crash during which every request is aborted.
    std::chrono::milliseconds restart_delay{200};
};

} // namespace caperjunction::stand_ins

#endif
