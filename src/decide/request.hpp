#ifndef CAPERJUNCTION_DECIDE_REQUEST_HPP
#define CAPERJUNCTION_DECIDE_REQUEST_HPP

#include "model/request_id.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::decide {

/// A caller's request without body and prompt text.
struct request
{
    model::request_id id;
    std::string customer;
    std::string team;
    std::string plan;
    /// The service class that defines its latency targets.
    std::string service_class;
    /// Exactly one of `model` and `service` is set.
    std::string model;
    std::string service;
    std::uint32_t prompt_tokens = 0;
    /// The caller's output limit; 0 if it set none.
    std::uint32_t max_output_tokens = 0;
    /// Hashes of the prompt's leading blocks, each including all blocks before
    /// it.
    std::vector<std::uint64_t> prefix_blocks;
    /// Hash of customer, model and complete body; identical on every resend.
    std::uint64_t fingerprint = 0;
    /// Whether the request can be run twice without harm.
    bool repeatable = true;
    /// Handed over by another host; it is not handed over again.
    bool handed_over = false;
    model::time_point arrived{};
};

} // namespace caperjunction::decide

#endif
