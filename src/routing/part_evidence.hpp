#ifndef CAPERJUNCTION_ROUTING_PART_EVIDENCE_HPP
#define CAPERJUNCTION_ROUTING_PART_EVIDENCE_HPP

#include "model/time.hpp"
#include "routing/shared_part.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace caperjunction::routing {

/// A part of a request that was in flight at a crash and had not been answered.
struct crash_candidate
{
    std::uint64_t id = 0;
    /// When the latest such request was sent.
    model::time_point sent_at{};
    /// The host has seen it answered before.
    bool is_trusted = false;
    /// The upstream had begun to answer such a request or, if this is a whole
    /// one, had accepted a connection for it: it wasn't down already.
    bool has_begun = false;
    part_kind kind = part_kind::prompt;
};

/// What a host has seen of the crash of one upstream.
struct upstream_crash
{
    /// Key from `start_key`: differs for each start of the upstream.
    std::uint64_t start = 0;
    /// Of the upstream; keys as in `software`.
    std::uint64_t service = 0;
    std::uint64_t version = 0;
    model::time_point at{};
    std::vector<crash_candidate> candidates;

    /// Returns the part that one of its candidates is.
    shared_part part_of(crash_candidate const& candidate) const
    {
        return {service, candidate.id, candidate.kind};
    }
};

/// An upstream that a host reported as crashed was alive: another host has
/// connected to it afterwards.
struct crash_refutation
{
    /// Key from `start_key`.
    std::uint64_t start = 0;
    /// When the reporting host saw the connections break.
    model::time_point at{};
};

/// An upstream has written an answer on a part and lived on.
struct part_answer
{
    shared_part part;
    std::uint64_t version = 0;
    /// When the answer began.
    model::time_point began_at{};
};

/// Parts that together have been in flight at crashes. Requests that hold all
/// of them are kept from upstreams of these versions.
struct part_verdict
{
    /// Of one service, sorted.
    std::vector<shared_part> parts;
    std::vector<std::uint64_t> versions;
    model::time_point last_crash{};
    /// When such a request last came to any host.
    model::time_point seen_at{};
    /// The parts had been answered before, and more evidence was asked for.
    bool is_trusted = false;
    /// Crashes that probes have caused.
    std::uint32_t failed_probes = 0;
    /// Starts of the upstreams that crashed, as `start_key`; none if another
    /// host has told this one.
    std::vector<std::uint64_t> crashes = {};

    bool holds_for(std::uint64_t version) const
    {
        return std::find(versions.begin(), versions.end(), version)
               != versions.end();
    }

    void add_version(std::uint64_t version)
    {
        if (!holds_for(version)) {
            versions.push_back(version);
        }
    }
};

} // namespace caperjunction::routing

#endif
