#include "program/serve.hpp"

#include "net/relay.hpp"
#include "program/build_version.hpp"
#include "program/clock_log.hpp"
#include "program/control.hpp"
#include "runtime/clock_source.hpp"
#include "runtime/lease_clock.hpp"
#include "runtime/log_line.hpp"
#include "runtime/task.hpp"

#include <csignal>
#include <memory>
#include <random>
#include <string_view>
#include <vector>

namespace caperjunction::program {
namespace {

/// Clock of one task that counts the time during which the host was suspended,
/// on which views, claims and orders rest. Not the time of day: one that jumps
/// ahead would make witnesses forget claims too early.
class task_clock
{
public:
    task_clock()
        : m_clock(std::make_shared<runtime::lease_clock>(
            runtime::clock{},
            std::vector{runtime::boot_clock(), runtime::steady_clock()}))
    {
    }

    runtime::clock as_clock() const
    {
        return {[clock = m_clock] {
            return clock->now();
        }};
    }

    std::string_view source() const
    {
        return m_clock->source();
    }

    void log_faults() const
    {
        m_clock->set_hooks(log_clock_faults(source()));
    }

private:
    std::shared_ptr<runtime::lease_clock> m_clock;
};

/// Connects the relay task and the control task. The main thread runs the
/// control task.
class host_process
{
public:
    explicit host_process(settings const& settings)
        : m_settings(with_prefix(settings))
        , m_relay_task(task_clock().as_clock())
        , m_control_task(m_control_clock.as_clock())
        , m_relay(m_relay_task.loop(),
                  m_settings.relay,
                  [this](net::relay_report& report) {
                      return m_control_task.post(report);
                  })
        , m_control(m_control_task.loop(),
                    m_settings,
                    m_metrics,
                    [this](net::relay_message message) {
                        m_relay_task.post_or_wait(std::move(message));
                    })
    {
        m_relay_task.set_message_handler([this](net::relay_message& message) {
            m_relay.handle(message);
        });
        m_control_task.set_message_handler([this](net::relay_report& report) {
            m_control.handle(report);
        });
        // The relay task reads the same source: one line is enough.
        m_control_clock.log_faults();
        m_control.on_stopped([this] {
            m_control_task.loop().stop();
        });
    }

    int run()
    {
        runtime::log_line("listening")
            .field("build", build_version())
            .field("clock", m_control_clock.source())
            .field("host", m_settings.host_name)
            .field("callers_port", m_relay.port())
            .field("admin_port", m_control.admin_port())
            .field("peer_port", m_control.peer_port());
        std::signal(SIGPIPE, SIG_IGN);
        for (int const number : {SIGTERM, SIGINT}) {
            m_control_task.loop().on_signal(number, [this] {
                plan_stop();
            });
        }
        m_relay_task.start();
        m_control_task.loop().run();
        m_relay_task.stop();
        runtime::log_line("stopped").field("cut_off", m_relay.running());
        return m_relay.running() == 0 ? 0 : 1;
    }

private:
    // Request ids must differ between hosts and between processes of a host.
    static settings with_prefix(settings settings_with_prefix)
    {
        settings_with_prefix.relay.id_prefix = std::random_device{}();
        return settings_with_prefix;
    }

    void plan_stop()
    {
        m_control.plan_stop();
        auto const limit = m_settings.drain_delay + m_settings.drain_limit;
        m_control_task.loop().after(limit, [this] {
            m_control_task.loop().stop();
        });
    }

    settings m_settings;
    metrics m_metrics;
    task_clock m_control_clock;
    runtime::task<net::relay_message> m_relay_task;
    runtime::task<net::relay_report> m_control_task;
    net::relay m_relay;
    control m_control;
};

} // namespace

int serve(settings const& settings)
{
    host_process process(settings);
    return process.run();
}

} // namespace caperjunction::program
