#ifndef CAPERJUNCTION_ROUTING_PICKER_HPP
#define CAPERJUNCTION_ROUTING_PICKER_HPP

#include "model/time.hpp"
#include "routing/pick.hpp"
#include "routing/picker_settings.hpp"
#include "routing/prefix_cache_estimate.hpp"
#include "routing/upstream_directory.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::routing {

/// Chooses the upstream of a request.
///
/// Every cost is a share of what the request is worth to its caller: being
/// late, having a shared prompt read once more, and crossing data centres
/// are weighed in one sum, so that a warm engine far off wins against a cold
/// one nearby just when that is better.
///
/// Thread safety: none; owned by one task.
class picker
{
public:
    explicit picker(upstream_directory const& directory,
                    picker_settings const& weights = {});

    /// The best upstream; `to` is null if none is left.
    pick choose(pick_request const& request, model::time_point now) const;

    /// `chosen` was sent the request.
    void record_sent(pick_request const& request,
                     upstream_state const& chosen,
                     model::time_point now);

private:
    struct engine_partition
    {
        /// Places in the lane order before this one are those of the most
        /// urgent streams, the others of the rest.
        std::size_t reserved = 0;
        /// The one where the request's shared prompt is kept, and the one
        /// that takes what that can't.
        upstream_state const* affinity_engine = nullptr;
        upstream_state const* overflow_engine = nullptr;
        /// As a share of what a request is worth.
        double cost_of_uncached_token = 0.0;
    };

    engine_partition partition(pick_request const& request,
                               std::vector<upstream_ptr> const& usable) const;
    std::uint32_t uncached_tokens(prompt const& asked,
                                  upstream_state const& candidate,
                                  model::time_point now) const;
    double cost_of(pick_request const& request,
                   upstream_state const& candidate,
                   engine_partition const& groups,
                   model::time_point now,
                   pick& result) const;

    upstream_directory const& m_directory;
    picker_settings m_settings;
    prefix_cache_estimate m_memory;
};

} // namespace caperjunction::routing

#endif
