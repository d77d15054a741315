#ifndef CAPERJUNCTION_MODEL_ENGINE_HPP
#define CAPERJUNCTION_MODEL_ENGINE_HPP

#include "model/endpoint.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::model {

/// What an engine is set up to do.
enum class engine_role : std::uint8_t
{
    mixed,
    prefill,
    decode,
};

/// One upstream that runs models, as the platform lists it.
struct engine
{
    std::string name;
    std::string region;
    std::string data_centre;
    endpoint address;
    std::vector<std::string> models;
    engine_role role = engine_role::mixed;
    /// Requests that it decodes side by side; 0 if it doesn't say.
    std::uint32_t slots = 0;
    /// Whether it refuses an order that carries an old fencing number.
    bool checks_fencing = false;
    bool leaving = false;

    friend bool operator==(engine const&, engine const&) = default;
};

} // namespace caperjunction::model

#endif
