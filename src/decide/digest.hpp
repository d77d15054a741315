#ifndef CAPERJUNCTION_DECIDE_DIGEST_HPP
#define CAPERJUNCTION_DECIDE_DIGEST_HPP

#include "model/time.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::decide {

/// Requests of one model and tier that are queued or refused on a host.
struct queue_load
{
    std::uint32_t model_hash = 0;
    std::uint8_t tier = 0;
    std::uint16_t queued = 0;
    /// Refusals within the last seconds.
    std::uint16_t refused = 0;

    friend bool operator==(queue_load const&, queue_load const&) = default;
};

/// A host's requests on one engine.
struct engine_load
{
    std::uint32_t engine_hash = 0;
    std::uint16_t in_flight = 0;
    /// Prompt tokens waiting for prefill on the engine, in units of 16.
    std::uint16_t prefill = 0;

    friend bool operator==(engine_load const&, engine_load const&) = default;
};

/// One team's usage on a host.
struct team_load
{
    std::uint32_t team_hash = 0;
    float tokens_per_second = 0.0F;
    float requests_per_second = 0.0F;
    std::uint16_t concurrent = 0;

    friend bool operator==(team_load const&, team_load const&) = default;
};

/// A fingerprint that was in flight during an engine crash.
struct suspect_load
{
    std::uint64_t fingerprint = 0;
    std::uint8_t evidence = 0;
    /// The engine that runs the request; 0 if it is not running.
    std::uint32_t engine_hash = 0;
    /// Remaining quarantine time; 0 if it is only a suspect.
    std::uint16_t seconds = 0;

    friend bool operator==(suspect_load const&, suspect_load const&) = default;
};

/// One host's load as sent to its peers.
struct digest
{
    std::uint32_t region_hash = 0;
    std::vector<queue_load> queues;
    std::vector<engine_load> engines;
    std::vector<team_load> teams;
    std::vector<suspect_load> suspects;

    friend bool operator==(digest const&, digest const&) = default;
};

/// Maximum number of entries in each part of a digest. With 15 engines and 10
/// teams everything fits in 2 KB. With 10,000 engines a digest is truncated at
/// these bounds and takes at most 9 KB.
inline constexpr std::size_t max_digest_queues = 64;
inline constexpr std::size_t max_digest_engines = 512;
inline constexpr std::size_t max_digest_teams = 192;
inline constexpr std::size_t max_digest_suspects = 48;

/// \pre no part of `load` exceeds its bound.
std::vector<std::uint8_t> encode(digest const& load);

/// Returns false, with `result` unspecified, unless `bytes` is a complete
/// digest of this version. Other hosts may run another version, and their bytes
/// may be corrupt.
bool decode(std::vector<std::uint8_t> const& bytes, digest& result);

} // namespace caperjunction::decide

#endif
