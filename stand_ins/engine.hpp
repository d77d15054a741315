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

/// Stands in for a model engine: batches continuously in bounded slots by
/// priority, streams, resumes, cancels when the client closes, keeps a prefix
/// cache, reports its load with a lag, takes orders.
///
/// POST /v1/chat/completions, /v1/completions, /v1/orders; GET /v1/load,
/// /v1/models, /v1/cache_events?after=N. For tests: POST /control sets faults
/// by their names in engine_faults, and {"crash":true} or {"silence":true}
/// act at once; GET /control/counters.
///
/// Thread safety: none; lives on the event_base's thread.
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
    /// Cuts off everything at once and is away for the restart time.
    void crash();
    /// Open streams send nothing more; new requests are served.
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
    generation::pace pace_of(generation_request const& request);
    bool before_token(generation& answer);
    void remove(generation& answer);
    void cancel(generation& answer);
    void note_load();
    void take_order(exchange& call);
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
    /// Generations that ended inside their own call; freed by the timer.
    generation_list m_ended;
    timer m_reaper;
    std::chrono::steady_clock::time_point m_back{};
    std::uint64_t m_fencing = 0;
    http_server m_server;
};

} // namespace caperjunction::stand_ins

#endif
