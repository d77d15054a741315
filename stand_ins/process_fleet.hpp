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

/// A caller's view of one answer.
struct caller_answer
{
    int status = 0;
    std::string body;
    bool ended = false;
    net::call_end end = net::call_end::broken;
};

struct process_fleet_options
{
    /// Path of the router's program.
    std::string program;
    std::size_t hosts = 2;
    std::size_t engines = 2;
    engine_settings engine;
    service_settings service;
    /// Flags for every host, beside those that name it.
    std::vector<std::string> flags;
};

/// Router hosts as processes of their own; platform, engines and service are
/// stand-ins on the given loop, and so are the callers.
///
/// Thread safety: none.
class process_fleet
{
public:
    process_fleet(runtime::event_loop& loop, process_fleet_options options);
    ~process_fleet();

    /// Runs until `done` holds; false if it didn't within a generous limit.
    bool run_until(std::function<bool()> const& done);
    void run_for(model::milliseconds time);

    /// Starts a new process under the name of host `place`, and lists it.
    void start_host(std::size_t place);

    /// Runs until all running hosts are ready and see each other.
    bool wait_until_joined();

    child_process& host(std::size_t place)
    {
        return *m_hosts[place].process;
    }

    std::size_t hosts() const
    {
        return m_hosts.size();
    }

    std::shared_ptr<caller_answer>
    chat(std::size_t place, std::string const& prompt, int tokens);
    std::shared_ptr<caller_answer> book(std::size_t place,
                                        std::string const& idempotency_key);
    std::shared_ptr<caller_answer> admin(std::size_t place,
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
    bool is_joined(std::size_t place);
    std::shared_ptr<caller_answer> call(net::upstream_call const& call);

    runtime::event_loop& m_loop;
    process_fleet_options m_options;
    std::vector<host_process> m_hosts;
    net::upstream_client m_client;
};

} // namespace caperjunction::stand_ins

#endif
