#ifndef CAPERJUNCTION_BENCH_CLASS_LOAD_HPP
#define CAPERJUNCTION_BENCH_CLASS_LOAD_HPP

#include <chrono>
#include <cstdint>
#include <string>

namespace caperjunction::bench {

/// Load of one service class under normal conditions.
struct class_load
{
    std::string service_class;
    std::string plan;
    /// Exactly one of `model` and `service` is set.
    std::string model;
    std::string service;
    /// Demand as a share of the deployment's engine capacity.
    double share_of_capacity = 0.0;
    /// Demand on a service.
    double calls_per_second = 0.0;
    std::chrono::milliseconds mean_call{0};
    std::uint32_t mean_prompt_tokens = 0;
    std::uint32_t mean_output_tokens = 0;
    /// Standard deviation of the logarithm of both lengths.
    double spread = 0.5;
    /// Share of the prompt that is one of the team's shared documents.
    double document_share = 0.5;
    std::uint32_t documents = 4;
};

} // namespace caperjunction::bench

#endif
