#ifndef CAPERJUNCTION_NET_PLATFORM_READER_HPP
#define CAPERJUNCTION_NET_PLATFORM_READER_HPP

#include "fleet/agent_event.hpp"
#include "fleet/published_value.hpp"
#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "net/upstream_client.hpp"
#include "runtime/event_loop.hpp"

#include <sigc++/sigc++.h>

#include <cstdint>

namespace caperjunction::net {

/// Reads and watches the values that the platform publishes; never writes.
///
/// Thread safety: none; owned by one task.
class platform_reader
{
public:
    platform_reader(runtime::event_loop& loop,
                    model::endpoint service,
                    model::milliseconds watch_wait);

    /// Reads the value once.
    void read(fleet::published_value value);

    /// Requests a revision above `after`. The service waits for one for up to
    /// `wait`, which is capped at `watch_wait` of the constructor.
    void watch(fleet::published_value value,
               std::uint64_t after,
               model::milliseconds wait);

    /// Each read and each watch ends with exactly one of these two signals.
    /// The second argument is the time at which the call started.
    sigc::signal<void(fleet::value_read const&, model::time_point)> arrived;
    sigc::signal<void(fleet::read_ended const&, model::time_point)> ended;

private:
    void start(fleet::published_value value, std::string path);

    runtime::event_loop& m_loop;
    model::endpoint m_service;
    model::milliseconds m_watch_wait;
    upstream_client m_client;
};

} // namespace caperjunction::net

#endif
