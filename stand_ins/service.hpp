#ifndef CAPERJUNCTION_STAND_INS_SERVICE_HPP
#define CAPERJUNCTION_STAND_INS_SERVICE_HPP

#include "stand_ins/http_server.hpp"
#include "stand_ins/service_settings.hpp"
#include "stand_ins/timer.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace caperjunction::stand_ins {

/// Stand-in for a service without deduplication. Executes every request, also
/// repeated ones, and counts executions by Idempotency-Key ("" without one).
///
/// For tests: POST /control {"crash_before":true} or {"crash_after":true}
/// closes each connection without a reply, before or after the execution;
/// {"delay_ms":N} sets the delay. GET /control/executions returns
/// {"KEY":COUNT,...}.
///
/// Thread safety: none; used on the event_base's thread only.
class service
{
public:
    /// \pre base outlives it.
    /// \throws model::error if it cannot listen.
    service(event_base* base, service_settings settings);
    ~service();
    service(service const&) = delete;
    service& operator=(service const&) = delete;

    model::endpoint const& address() const
    {
        return m_server.address();
    }

    std::uint16_t port() const
    {
        return address().port;
    }

    /// Returns the number of executions by Idempotency-Key.
    std::map<std::string, std::uint64_t> const& executions() const
    {
        return m_executions;
    }

    void crash_before(bool on)
    {
        m_crash_before = on;
    }

    void crash_after(bool on)
    {
        m_crash_after = on;
    }

private:
    void handle(std::shared_ptr<exchange> const& call);
    void handle_control(exchange& call);
    void execute(exchange& call,
                 std::string const& key,
                 std::string const& method,
                 std::string const& path);

    event_base* m_base;
    service_settings m_settings;
    std::map<std::string, std::uint64_t> m_executions;
    std::list<std::unique_ptr<timer>> m_delayed;
    bool m_crash_before = false;
    bool m_crash_after = false;
    http_server m_server;
};

} // namespace caperjunction::stand_ins

#endif
