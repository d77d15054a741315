#ifndef CAPERJUNCTION_STAND_INS_ENGINE_SETTINGS_HPP
#define CAPERJUNCTION_STAND_INS_ENGINE_SETTINGS_HPP

#include "model/endpoint.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::stand_ins {

/// How the stand-in of a model engine behaves.
struct engine_settings
{
    model::endpoint listen{"127.0.0.1", 0};
    std::string name = "engine-1";
    std::vector<std::string> models{"drafter"};
    /// Answers computed side by side; the rest waits by priority.
    std::uint32_t slots = 8;
    /// Of each answer; 0: as fast as the client takes them.
    double tokens_per_second = 50.0;
    /// Until the first token, with nothing of the prompt in the cache.
    std::chrono::milliseconds first_token_delay{50};
    /// Tokens sent with one write.
    std::uint32_t burst_events = 1;
    /// Blocks of prompts that the prefix cache keeps.
    std::size_t cache_blocks = 1024;
    /// Age of the load that it reports.
    std::chrono::milliseconds report_lag{0};
    /// Delay until a cache event can be read.
    std::chrono::milliseconds cache_event_lag{100};
    /// Each so-many-th cache event is lost; 0: none.
    std::uint32_t cache_event_gap = 10;
    bool checks_fencing = false;
    /// Time that it is away after a crash.
    std::chrono::milliseconds restart_delay{200};
};

} // namespace caperjunction::stand_ins

#endif
