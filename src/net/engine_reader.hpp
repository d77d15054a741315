#ifndef CAPERJUNCTION_NET_ENGINE_READER_HPP
#define CAPERJUNCTION_NET_ENGINE_READER_HPP

#include "decide/event.hpp"
#include "model/time.hpp"
#include "model/upstream_list.hpp"
#include "net/upstream_client.hpp"
#include "runtime/event_loop.hpp"

#include <sigc++/sigc++.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::net {

/// Polls engines for their load and their prefix cache events, one engine
/// after the other, at a bounded rate.
///
/// Thread safety: none; owned by one task.
class engine_reader
{
public:
    /// Interval between two calls. Each engine takes two calls, so twelve
    /// engines are each polled about every 0.5 s.
    static constexpr model::milliseconds call_period{20};

    explicit engine_reader(runtime::event_loop& loop);
    ~engine_reader();
    engine_reader(engine_reader const&) = delete;
    engine_reader& operator=(engine_reader const&) = delete;

    void set_engines(std::vector<model::engine> const& engines);

    sigc::signal<void(decide::engine_report const&)> reported;
    sigc::signal<void(decide::cache_changed const&)> cache_changed;

private:
    struct known_engine
    {
        std::string name;
        model::endpoint address;
        std::uint64_t sequence = 0;
        bool requested = false;
    };

    using body_handler = void (engine_reader::*)(std::string const& name,
                                                 std::string const& body);

    void request_next();
    void
    start_request(known_engine& engine, std::string path, body_handler handler);
    void handle_load(std::string const& name, std::string const& body);
    void handle_cache_events(std::string const& name, std::string const& body);
    known_engine* find(std::string const& name);

    runtime::event_loop& m_loop;
    upstream_client m_client;
    std::vector<known_engine> m_engines;
    std::size_t m_next = 0;
    bool m_cache_next = false;
    runtime::timer_handle m_timer;
};

} // namespace caperjunction::net

#endif
