#ifndef CAPERJUNCTION_TESTS_PROGRAM_SITE_HPP
#define CAPERJUNCTION_TESTS_PROGRAM_SITE_HPP

#include "net/relay.hpp"
#include "net/upstream_client.hpp"
#include "program/control.hpp"
#include "program/metrics.hpp"
#include "runtime/event_loop.hpp"
#include "stand_ins/engine.hpp"
#include "stand_ins/platform.hpp"
#include "stand_ins/service.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace caperjunction::tests {

/// A caller's view of one answer.
struct answer
{
    int status = 0;
    std::string body;
    bool ended = false;
    net::call_end end = net::call_end::broken;
};

/// Options of a test site.
struct site_options
{
    std::size_t engines = 2;
    double tokens_per_second = 500.0;
    net::upstream_timeouts timeouts{};
    std::size_t max_body_bytes = 1'048'576;
};

/// One router host with its stand-ins on one event loop and in one thread, so
/// that the test controls the order of execution.
class site
{
public:
    explicit site(site_options options = {});
    ~site();

    /// Runs until `done` returns true. Returns false after a generous timeout.
    bool run_until(std::function<bool()> const& done);

    /// Runs for about `time`.
    void run_for(model::milliseconds time);

    /// Starts a call to the router.
    std::shared_ptr<answer> call(std::string const& path,
                                 std::string const& body,
                                 std::vector<net::header> headers = {});

    /// Starts a chat call with an answer of `tokens` tokens.
    std::shared_ptr<answer>
    chat(std::string const& prompt, int tokens, bool stream);

    /// Disconnects the latest call.
    void disconnect();

    /// Runs until the answer has ended.
    bool wait(std::shared_ptr<answer> const& pending);

    std::uint64_t
    total(std::uint64_t stand_ins::engine_counters::*counter) const;

    /// Returns the body of a GET at the admin address.
    std::string admin(std::string const& path);

    runtime::event_loop loop;
    std::vector<std::unique_ptr<stand_ins::engine>> engines;
    std::unique_ptr<stand_ins::service> service;
    std::unique_ptr<stand_ins::platform> platform;
    program::metrics metrics;
    std::unique_ptr<net::relay> relay;
    std::unique_ptr<program::control> control;

private:
    net::upstream_client m_client;
    net::call_handle m_latest;
};

/// Returns the texts of all tokens in a stream's events, in order.
std::string tokens_of(std::string const& events);

/// Returns the first `count` tokens that a stand-in engine generates for the
/// prompt of `tokens`.
std::string expected_tokens(std::string const& tokens, int count);

} // namespace caperjunction::tests

#endif
