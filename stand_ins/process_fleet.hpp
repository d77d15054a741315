#ifndef CAPERJUNCTION_STAND_INS_PROCESS_FLEET_HPP
#define CAPERJUNCTION_STAND_INS_PROCESS_FLEET_HPP

#include "net/upstream_client.hpp"
#include "runtime/event_loop.hpp"
#include "stand_ins/child_process.hpp"
#include "stand_ins/engine.hpp"
#include "stand_ins/platform.hpp"
#include "stand_ins/service.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace caperjunction::stand_ins {

/// The answer to one request, as its caller received it so far.
struct caller_answer
{
    int status = 0;
    std::string body;
    bool ended = false;
    net::call_end end = net::call_end::broken;
};

struct process_fleet_options
{
    /// Path of the router executable.
    std::string program;
    std::size_t hosts = 2;
    std::size_t engines = 2;
    engine_settings engine;
    service_settings service;
    /// Flags of every host, in addition to those that identify it.
    std::vector<std::string> flags;
};

/// A fleet of router processes. The platform, the engines, the service and
/// the callers run in the test process, on the given loop.
///
/// Thread safety: none.
class process_fleet
{
public:
    process_fleet(runtime::event_loop& loop, process_fleet_options options);
    ~process_fleet();

    /// Runs the loop until `done` returns true. Returns false after 30 s.
    bool run_until(std::function<bool()> const& done);
    void run_for(model::milliseconds time);

    /// Starts a new process with the name of the host at `index`. A
    /// replacement is published in the list of hosts.
    void start_host(std::size_t index);

    /// Runs the loop until every host is ready and sees all hosts as alive.
    /// Returns false if a host takes longer than 30 s.
    bool wait_until_joined();

    child_process& host(std::size_t index)
    {
        return *m_hosts[index].process;
    }

    std::size_t hosts() const
    {
        return m_hosts.size();
    }

    std::shared_ptr<caller_answer>
    chat(std::size_t index, std::string const& prompt, int tokens);
    std::shared_ptr<caller_answer> book(std::size_t index,
                                        std::string const& idempotency_key);
    std::shared_ptr<caller_answer> admin(std::size_t index,
                                         std::string const& path);
    bool wait(std::shared_ptr<caller_answer> const& pending);

    std::vector<std::unique_ptr<engine>> engines;
    std::unique_ptr<stand_ins::service> service;
    std::unique_ptr<stand_ins::platform> platform;

private:
    struct host_process
    {
        std::string name;
        std::unique_ptr<child_process> process;
        model::endpoint callers;
        model::endpoint admin;
        model::endpoint peers;
    };

    void publish_hosts();
    bool is_joined(std::size_t index);
    std::shared_ptr<caller_answer> call(net::upstream_call const& call);

    runtime::event_loop& m_loop;
    process_fleet_options m_options;
    std::vector<host_process> m_hosts;
    net::upstream_client m_client;
};

} // namespace caperjunction::stand_ins

#endif
