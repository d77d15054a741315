#ifndef CAPERJUNCTION_PROGRAM_TRAIL_HPP
#define CAPERJUNCTION_PROGRAM_TRAIL_HPP

#include "model/request_id.hpp"
#include "model/time.hpp"
#include "program/described.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace caperjunction::program {

/// One recorded step in the processing of a request.
struct trail_step
{
    model::time_point when{};
    std::string event;
    std::vector<key_value> pairs;
};

/// Recent requests of this host and the decisions about each, in bounded
/// memory. The oldest request is removed first.
///
/// Thread safety: none; owned by one task.
class trail
{
public:
    static constexpr std::size_t max_requests = 4'096;
    /// Later steps of a request are dropped, because the first ones explain its
    /// outcome.
    static constexpr std::size_t max_steps = 32;

    void add(model::request_id id, trail_step step);

    /// Returns an empty list if the request is unknown or already removed.
    std::vector<trail_step> const& steps(model::request_id id) const;

private:
    std::unordered_map<model::request_id, std::vector<trail_step>> m_steps;
    std::deque<model::request_id> m_order;
};

} // namespace caperjunction::program

#endif
