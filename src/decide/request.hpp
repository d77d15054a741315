#ifndef CAPERJUNCTION_DECIDE_REQUEST_HPP
#define CAPERJUNCTION_DECIDE_REQUEST_HPP

#include "model/request_id.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::decide {

/// A caller's request as the decision logic sees it: no body, no prompt.
struct request
{
    model::request_id id;
    std::string customer;
    std::string team;
    std::string plan;
    /// The service class that its latency target comes from.
    std::string service_class;
    /// Exactly one of `model` and `service` is set.
    std::string model;
    std::string service;
    std::uint32_t prompt_tokens = 0;
    /// The caller's bound on the output; 0 if it set none.
    std::uint32_t max_output_tokens = 0;
    /// Hashes of the prompt's leading blocks, each over all before it.
    std::vector<std::uint64_t> prefix_blocks;
    /// Hash of customer, model and whole body; equal on every resend.
    std::uint64_t fingerprint = 0;
    /// Whether a second run does no harm.
    bool repeatable = true;
    /// Taken over from another host; it is not handed over again.
    bool handed_over = false;
    model::time_point arrived{};
};

} // namespace caperjunction::decide

#endif
