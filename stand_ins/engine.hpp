#ifndef CAPERJUNCTION_STAND_INS_ENGINE_HPP
#define CAPERJUNCTION_STAND_INS_ENGINE_HPP

#include "stand_ins/cache_event_log.hpp"
#include "stand_ins/engine_counters.hpp"
#include "stand_ins/engine_faults.hpp"
#include "stand_ins/engine_settings.hpp"
#include "stand_ins/generation.hpp"
#include "stand_ins/http_server.hpp"
#include "stand_ins/load_history.hpp"
#include "stand_ins/prefix_cache.hpp"
#include "stand_ins/timer.hpp"

#include <cstdint>
#include <list>
#include <memory>

namespace caperjunction::stand_ins {

/// Stand-in for a model engine. Runs requests in a bounded number of slots,
/// ordered by priority; streams and resumes answers; cancels an answer when
/// its client disconnects; keeps a prefix cache; reports its load with a lag;
/// executes orders to load and unload models.
///
/// POST /v1/chat/completions, /v1/completions, /v1/orders; GET /v1/load,
/// /v1/models, /v1/cache_events?after=N. For tests: POST /control sets faults
/// by their names in engine_faults; {"crash":true} and {"silence":true} take
/// effect immediately. GET /control/counters returns the counters.
///
/// Thread safety: none; used on the event_base's thread only.
class engine
{
public:
    /// \pre base outlives it.
    /// \throws model::error if it cannot listen.
    engine(event_base* base, engine_settings settings);
    ~engine();
    engine(engine const&) = delete;
    engine& operator=(engine const&) = delete;

    model::endpoint const& address() const
    {
        return m_server.address();
    }

    std::uint16_t port() const
    {
        return address().port;
    }

    void set_faults(engine_faults faults);
    /// Closes the connections of all answers and aborts every new request,
    /// except those to /control, until the restart delay has passed.
    void crash();
    /// Stops sending on all running answers but leaves their connections
    /// open. New requests are served.
    void stall_running();

    engine_counters const& counters() const
    {
        return m_counters;
    }

    std::uint32_t running() const
    {
        return static_cast<std::uint32_t>(m_running.size());
    }

    std::uint32_t waiting() const
    {
        return static_cast<std::uint32_t>(m_waiting.size());
    }

private:
    using generation_list = std::list<std::unique_ptr<generation>>;

    void handle(std::shared_ptr<exchange> const& call);
    void handle_control(exchange& call);
    void generate(std::shared_ptr<exchange> const& call);
    void enqueue(std::shared_ptr<exchange> const& call,
                 generation_request request);
    void start_next();
    generation::timing timing_for(generation_request const& request);
    bool before_token(generation& answer);
    void remove(generation& answer);
    void cancel(generation& answer);
    void record_load();
    void handle_order(exchange& call);
    std::string load_json() const;
    std::string models_json() const;
    std::string counters_json() const;

    event_base* m_base;
    engine_settings m_settings;
    engine_faults m_faults;
    engine_counters m_counters;
    load_history m_load;
    cache_event_log m_cache_events;
    prefix_cache m_cache;
    generation_list m_waiting;
    generation_list m_running;
    /// Generations that ended within one of their own member functions;
    /// m_cleanup_timer destroys them.
    generation_list m_ended;
    timer m_cleanup_timer;
    std::chrono::steady_clock::time_point m_available_at{};
    std::uint64_t m_highest_fencing = 0;
    http_server m_server;
};

} // namespace caperjunction::stand_ins

#endif
