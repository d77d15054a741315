#ifndef CAPERJUNCTION_BENCH_CORE_BENCH_LOADED_ROUTER_HPP
#define CAPERJUNCTION_BENCH_CORE_BENCH_LOADED_ROUTER_HPP

#include "decide/router.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::bench {

/// Size of the state in which decisions are made.
struct load_size
{
    std::size_t engines = 12;
    std::size_t teams = 10;
    /// Queued requests; 0 leaves free slots on the engines.
    std::size_t queued = 0;
};

/// A router with a given queue length: its engines are full, or a third full if
/// nothing is queued. Its clock only advances with ticks.
///
/// Thread safety: none.
class loaded_router
{
public:
    explicit loaded_router(load_size size);

    /// Adds one request.
    void add_request();

    /// Completes a running request, which frees its slot.
    void complete_request();

    void tick();

    /// Returns the number of dispatches since the last call.
    std::size_t take_dispatches();

    /// Heap bytes of all engines and of all queued requests.
    double engine_bytes() const
    {
        return m_engine_bytes;
    }

    double queue_bytes() const
    {
        return m_queue_bytes;
    }

    std::size_t running() const
    {
        return m_running.size();
    }

private:
    struct running_request
    {
        model::request_id id;
        std::string upstream;
    };

    void handle(decide::event const& input);
    void fill();

    load_size m_size;
    decide::router m_router;
    model::time_point m_now{};
    std::vector<decide::decision> m_out;
    std::vector<running_request> m_running;
    std::size_t m_dispatches = 0;
    std::uint64_t m_next_id = 1;
    double m_engine_bytes = 0.0;
    double m_queue_bytes = 0.0;
};

} // namespace caperjunction::bench

#endif
