#ifndef CAPERJUNCTION_ROUTING_RANK_LOADS_HPP
#define CAPERJUNCTION_ROUTING_RANK_LOADS_HPP

#include "model/time.hpp"
#include "routing/peer_digest.hpp"
#include "routing/rank_load_meter.hpp"
#include "routing/upstream_state.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace caperjunction::routing {

/// Prompt tokens of a service by urgency, over all hosts, for engines that are
/// reserved for the most urgent streams and for the others.
///
/// Answers bursts of prompts of medium urgency: engines prefill more urgent
/// prompts first, so that less urgent ones also wait for those that arrive
/// later.
struct rank_loads
{
    /// Sums over the engines of one group, by `rank_load_meter::index_of`.
    struct group
    {
        std::array<double, rank_load_meter::max_ranks> tokens_per_second{};
        std::array<double, rank_load_meter::max_ranks> pending{};
    };

    /// Of engines that are not reserved, and of reserved ones.
    std::array<group, 2> groups;

    /// Returns the tokens per second of prompts more urgent than `rank`.
    double more_urgent(bool is_reserved, std::uint32_t rank) const;

    /// Returns the pending tokens at least as urgent as `rank`.
    double pending_up_to(bool is_reserved, std::uint32_t rank) const;

    /// Returns the share of the pending tokens that is at least as urgent as
    /// `rank`; 1 if nothing is pending.
    double pending_share(bool is_reserved, std::uint32_t rank) const;
};

/// Returns the key under which hosts report prompt tokens of `service`. `index`
/// is one of `rank_load_meter::index_of`.
std::uint32_t
rank_load_key(std::string_view service, std::size_t index, bool is_reserved);

/// Returns the entries by which this host reports what it sends to `engines`,
/// all of `service`. They are `peer_load`s, so that digests and aggregators add
/// them up over hosts like any load.
std::vector<peer_load>
rank_load_entries(std::string_view service,
                  std::vector<upstream_ptr> const& engines,
                  model::time_point now);

/// Returns the sum of `own`, as from `rank_load_entries`, and of what other
/// hosts report, as returned by `others` for a key.
rank_loads
rank_loads_of(std::string_view service,
              std::vector<peer_load> const& own,
              std::function<peer_load(std::uint32_t key)> const& others);

} // namespace caperjunction::routing

#endif
