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

/// One step of a request's way through this host.
struct trail_step
{
    model::time_point when{};
    std::string event;
    std::vector<key_value> pairs;
};

/// The last requests of this host and what was decided about each, in
/// bounded memory; the oldest request goes first.
///
/// Thread safety: none; owned by one task.
class trail
{
public:
    static constexpr std::size_t max_requests = 4'096;
    /// Later steps of one request are dropped: the first ones explain it.
    static constexpr std::size_t max_steps = 32;

    void add(model::request_id id, trail_step step);

    /// Empty if the request is not known (any more).
    std::vector<trail_step> const& steps(model::request_id id) const;

private:
    std::unordered_map<model::request_id, std::vector<trail_step>> m_steps;
    std::deque<model::request_id> m_order;
};

} // namespace caperjunction::program

#endif
