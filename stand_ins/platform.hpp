#ifndef CAPERJUNCTION_STAND_INS_PLATFORM_HPP
#define CAPERJUNCTION_STAND_INS_PLATFORM_HPP

#include "stand_ins/http_server.hpp"
#include "stand_ins/platform_settings.hpp"
#include "stand_ins/timer.hpp"

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace caperjunction::stand_ins {

/// Stand-in for the platform: published values that clients can read and
/// watch under a rate limit, and a bandwidth-limited store of model weights.
///
/// For the router: GET /v1/values/NAME[?after=REVISION&wait_ms=N],
/// GET /v1/weights/MODEL?bytes=N. For tests: PUT /control/values/NAME, POST
/// /control/down and /control/stale ({"on": true}), GET /control/counters.
///
/// Thread safety: none; used on the event_base's thread only.
class platform
{
public:
    /// \pre base outlives it.
    /// \throws model::error if it cannot listen.
    platform(event_base* base, platform_settings settings);
    ~platform();
    platform(platform const&) = delete;
    platform& operator=(platform const&) = delete;

    model::endpoint const& address() const
    {
        return m_server.address();
    }

    std::uint16_t port() const
    {
        return address().port;
    }

    /// Publishes a value under the next revision and replies to its watches.
    void publish(std::string const& name, std::string const& json);
    /// While down, every call that the rate limit admits gets 503, except
    /// those to /control.
    void set_down(bool down);
    /// While stale, reads return the values as they were when this mode
    /// began.
    void set_stale(bool stale);

    /// Returns the number of calls so far, including refused ones and
    /// excluding those to /control.
    std::uint64_t calls() const
    {
        return m_calls;
    }

    std::uint64_t refused_calls() const
    {
        return m_refused;
    }

private:
    struct value
    {
        std::uint64_t revision = 0;
        std::string json;
    };

    struct watch
    {
        std::string name;
        std::uint64_t after = 0;
        std::shared_ptr<exchange> call;
        std::unique_ptr<timer> expiry;
    };

    void handle(std::shared_ptr<exchange> const& call);
    void read_value(std::shared_ptr<exchange> const& call);
    void add_watch(std::shared_ptr<exchange> const& call,
                   std::string const& name,
                   std::uint64_t after,
                   std::chrono::milliseconds wait);
    void answer_watches();
    void read_weights(std::shared_ptr<exchange> const& call);
    void handle_control(exchange& call);
    bool try_admit();
    std::map<std::string, value> const& visible() const;

    event_base* m_base;
    platform_settings m_settings;
    std::map<std::string, value> m_values;
    std::map<std::string, value> m_stale_values;
    std::list<watch> m_watches;
    std::list<std::unique_ptr<timer>> m_downloads;
    std::chrono::steady_clock::time_point m_rate_window_start{};
    std::chrono::steady_clock::time_point m_store_available_at{};
    std::uint32_t m_calls_in_window = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_refused = 0;
    bool m_down = false;
    bool m_stale = false;
    http_server m_server;
};

} // namespace caperjunction::stand_ins

#endif
