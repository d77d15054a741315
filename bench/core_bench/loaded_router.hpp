#ifndef CAPERJUNCTION_BENCH_LOADED_ROUTER_HPP
#define CAPERJUNCTION_BENCH_LOADED_ROUTER_HPP

#include "decide/router.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::bench {

/// How large the world is that a decision is made in.
struct load_size
{
    std::size_t engines = 12;
    std::size_t teams = 10;
    /// Requests that wait; 0 leaves engines with room.
    std::size_t queued = 0;
};

/// A router whose engines are full and whose queue has a given length, and
/// whose time stands still but for ticks.
///
/// Thread safety: none.
class loaded_router
{
public:
    explicit loaded_router(load_size size);

    /// One request more comes.
    void arrive();

    /// A running request ends, so that room is free.
    void end_one();

    void tick();

    /// Dispatches since the last call.
    std::size_t take_dispatches();

    /// Heap bytes that the engines took, and the requests in queue.
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
    struct flight
    {
        model::request_id id;
        std::string upstream;
    };

    void handle(decide::event const& happened);
    void fill();

    load_size m_size;
    decide::router m_router;
    model::time_point m_now{};
    std::vector<decide::decision> m_out;
    std::vector<flight> m_running;
    std::size_t m_dispatches = 0;
    std::uint64_t m_next_id = 1;
    double m_engine_bytes = 0.0;
    double m_queue_bytes = 0.0;
};

} // namespace caperjunction::bench

#endif
