#ifndef CAPERJUNCTION_PROXY_PART_CODEC_HPP
#define CAPERJUNCTION_PROXY_PART_CODEC_HPP

#include "model/time.hpp"
#include "routing/part_evidence.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::proxy {

/// A part of which one request at a time runs: that has begun or is over.
struct part_trial
{
    routing::shared_part part;
    /// Where it runs: key from `routing::start_key`.
    std::uint64_t upstream = 0;
    bool is_over = false;
    /// As for `routing::poison_parts::begin_trial`.
    std::uint32_t claim = 0;
};

/// What a host tells others of prompt parts.
struct part_message
{
    std::vector<routing::upstream_crash> crashes;
    std::vector<routing::part_answer> answers;
    std::vector<part_trial> trials;
    std::vector<routing::part_verdict> verdicts;
    /// The sender wants to know all verdicts.
    bool asks = false;
    /// Gateways don't pass it on to their data centre.
    bool goes_no_further = false;
    /// Starts of upstreams that the sender believes to have crashed, and that
    /// the receiver should try to connect to: keys from `routing::start_key`.
    std::vector<std::uint64_t> checks = {};
    /// Those of the receiver's `checks` that accepted a connection of the
    /// sender.
    std::vector<std::uint64_t> live = {};
    std::vector<routing::crash_refutation> refuted = {};

    bool is_empty() const
    {
        return crashes.empty() && answers.empty() && trials.empty()
               && verdicts.empty() && !asks && checks.empty() && live.empty()
               && refuted.empty();
    }
};

/// Returns whether a datagram isn't a digest but such a message.
bool is_part_message(std::string_view bytes);

/// Serializes a message at `now`. Thread safety: any thread.
std::string encode_part_message(part_message const& message,
                                model::time_point now);

/// Returns a message that was received at `now`; nothing if it is invalid.
/// Thread safety: any thread. \pre is_part_message(bytes).
std::optional<part_message> decode_part_message(std::string_view bytes,
                                                model::time_point now);

} // namespace caperjunction::proxy

#endif
