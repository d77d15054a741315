#ifndef CAPERJUNCTION_MODEL_ENGINE_HPP
#define CAPERJUNCTION_MODEL_ENGINE_HPP

#include "model/endpoint.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::model {

/// Phase of inference that an engine is configured for.
enum class engine_role : std::uint8_t
{
    mixed,
    prefill,
    decode,
};

/// Upstream that serves models, as published by the platform.
struct engine
{
    std::string name;
    std::string region;
    std::string data_centre;
    endpoint address;
    std::vector<std::string> models;
    engine_role role = engine_role::mixed;
    /// Maximum number of concurrently decoded requests; 0 if unknown.
    std::uint32_t slots = 0;
    /// Version of its software, not of a model's weights; empty if the platform
    /// doesn't publish it.
    std::string software_version;
    /// The engine rejects orders with an outdated fencing number.
    bool checks_fencing = false;
    bool leaving = false;

    friend bool operator==(engine const&, engine const&) = default;
};

} // namespace caperjunction::model

#endif
