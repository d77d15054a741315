#ifndef CAPERJUNCTION_ROUTING_PICKER_HPP
#define CAPERJUNCTION_ROUTING_PICKER_HPP

#include "model/time.hpp"
#include "routing/pick.hpp"
#include "routing/picker_settings.hpp"
#include "routing/prefix_cache_estimate.hpp"
#include "routing/prefix_demand.hpp"
#include "routing/upstream_directory.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace caperjunction::routing {

/// Chooses the upstream of a request.
///
/// Each cost is a fraction of the value of the request to its caller. Lateness,
/// repeated reading of a shared prefix and traffic between data centres add up
/// to one sum, so that a remote engine with a cached prefix is chosen over a
/// near one without it only if that is better overall.
///
/// Thread safety: none; owned by one task.
class picker
{
public:
    explicit picker(upstream_directory const& directory,
                    picker_settings const& weights = {});

    /// Returns the best upstream; `to` is null if none is left.
    pick choose(pick_request const& request, model::time_point now) const;

    /// Records that the request was sent to `chosen`.
    void record_sent(pick_request const& request,
                     upstream_state const& chosen,
                     model::time_point now);

private:
    struct engine_partition
    {
        /// Engines with a lower reservation rank serve most urgent streams, the
        /// others all other requests.
        std::size_t reserved = 0;
        /// The engine expected to have the shared prefix in its cache, one of
        /// several if the prefix has a high demand, and the one that takes
        /// requests that the first has no capacity for.
        upstream_state const* affinity_engine = nullptr;
        upstream_state const* overflow_engine = nullptr;
        /// Software of one usable upstream alone, if the request is a stream
        /// that may be resumed.
        std::vector<software> lone_software;
        // By group: engines that are not reserved, and reserved ones.
        /// Share of the pending tokens that is at least as urgent.
        std::array<double, 2> pending_share{1.0, 1.0};
        /// More urgent tokens per millisecond that each engine gets.
        std::array<double, 2> more_urgent_per_ms{};
        /// Mean pending tokens of an engine that are at least as urgent.
        std::array<double, 2> mean_ahead{};
        /// As a fraction of the value of a request.
        double cost_of_uncached_token = 0.0;

        bool is_reserved(upstream_state const& engine) const
        {
            return engine.reservation_rank < reserved;
        }

        /// Returns whether an engine is considered because of the prefix.
        bool has_prefix(upstream_state const& engine) const
        {
            return &engine == affinity_engine || &engine == overflow_engine;
        }
    };

    /// What a prompt adds at an engine.
    struct prompt_cost
    {
        double cost = 0.0;
        /// Time to the first event at nominal performance, without the wait.
        double nominal_ms = 0.0;
        /// Wait for a slot or for memory.
        double wait_ms = 0.0;
    };

    std::vector<upstream_ptr>
    considered(pick_request const& request,
               std::vector<upstream_ptr> const& usable,
               engine_partition const& groups,
               bool is_beyond_subset) const;
    engine_partition partition(pick_request const& request,
                               std::vector<upstream_ptr> const& usable,
                               model::time_point now) const;
    void choose_affinity(pick_request const& request,
                         std::vector<upstream_ptr> const& usable,
                         model::time_point now,
                         engine_partition& groups) const;
    std::uint32_t uncached_tokens(prompt const& requested,
                                  upstream_state const& candidate,
                                  model::time_point now) const;
    double cost_of(pick_request const& request,
                   upstream_state const& candidate,
                   engine_partition const& groups,
                   model::time_point now,
                   pick& out) const;

    void record_demand(pick_request const& request,
                       upstream_state const& chosen,
                       model::time_point now);
    double wait_ms(pick_request const& request,
                   upstream_state const& candidate,
                   pick& out) const;
    void measure_urgency(pick_request const& request,
                         std::size_t engines,
                         engine_partition& groups) const;
    double queued_tokens(pick_request const& request,
                         upstream_state const& candidate,
                         engine_partition const& groups,
                         pick& out) const;
    prompt_cost cost_of_prompt(pick_request const& request,
                               upstream_state const& candidate,
                               engine_partition const& groups,
                               model::time_point now,
                               pick& out) const;

    upstream_directory const& m_directory;
    picker_settings m_weights;
    prefix_cache_estimate m_prefix_cache;
    prefix_demand m_prefix_demand;
};

} // namespace caperjunction::routing

#endif
