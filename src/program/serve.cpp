#include "program/serve.hpp"

#include "net/relay.hpp"
#include "program/build_version.hpp"
#include "program/control.hpp"
#include "runtime/log_line.hpp"
#include "runtime/task.hpp"

#include <event2/event.h>

#include <csignal>
#include <random>

namespace caperjunction::program {
namespace {

/// Connects the relay task and the control task. The main thread runs the
/// control task.
class host_process
{
public:
    explicit host_process(settings const& settings)
        : m_settings(with_prefix(settings))
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
        m_control.on_stopped([this] {
            m_control_task.loop().stop();
        });
    }

    int run()
    {
        runtime::log_line("listening")
            .field("build", build_version())
            .field("host", m_settings.host_name)
            .field("callers_port", m_relay.port())
            .field("admin_port", m_control.admin_port())
            .field("peer_port", m_control.peer_port());
        std::signal(SIGPIPE, SIG_IGN);
        event* const term = watch_signal(SIGTERM);
        event* const interrupt = watch_signal(SIGINT);
        m_relay_task.start();
        m_control_task.loop().run();
        m_relay_task.stop();
        event_free(term);
        event_free(interrupt);
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

    event* watch_signal(int number)
    {
        event* const watch = evsignal_new(
            m_control_task.loop().base(),
            number,
            [](int /*number*/, short /*what*/, void* self) {
                static_cast<host_process*>(self)->plan_stop();
            },
            this);
        event_add(watch, nullptr);
        return watch;
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
