#ifndef CAPERJUNCTION_TESTS_PROXY_RELAY_FIXTURE_HPP
#define CAPERJUNCTION_TESTS_PROXY_RELAY_FIXTURE_HPP

#include "platform/platform.hpp"
#include "proxy/relay.hpp"
#include "proxy/scripted_upstream.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace caperjunction::test {

using namespace std::chrono_literals;

/// A caller's connection that stores everything it receives.
struct plain_client
{
    std::shared_ptr<proxy::tcp_stream> stream;
    std::string received_bytes;
    bool closed = false;
    bool broken = false;
};

/// Settings of a relay on loopback.
proxy::relay_settings test_settings();

/// Routes to service `ledger` by the paths of `relay_fixture::request`, one to
/// service `other` at /other/, and the key of one team.
routing::configuration test_configuration();

/// Makes the upstreams of now have served alone for `time`, as far as a host
/// knows.
void make_history(proxy::relay_context& context, model::milliseconds time);

/// A relay on loopback with routes, keys and scripted upstreams.
class relay_fixture
{
public:
    explicit relay_fixture(runtime::clock clock = {});

    /// Adds an upstream of `service` that answers with `answer`.
    scripted_upstream& add(std::string const& id,
                           std::string const& service,
                           std::function<script(received const&)> answer);

    std::shared_ptr<plain_client> connect();

    /// Opens a connection and sends `text`.
    std::shared_ptr<plain_client> send(std::string const& text);

    /// Makes the upstreams of now have served alone for `time`.
    void age_history(model::milliseconds time);

    /// Changes the configuration; only the idle timeout differs.
    void set_idle_timeout(model::milliseconds timeout);

    /// Runs the loop until `done` returns true. Returns false after some
    /// seconds without that.
    bool run_until(std::function<bool()> const& done);

    /// Runs the loop for `time`.
    void run_for(model::milliseconds time);

    /// Returns a request to /book/, /view/, /stream/ or /resume/ with a key.
    static std::string request(std::string const& path,
                               std::string const& id = "a1",
                               std::string const& more = "",
                               std::string const& body = "order",
                               std::string const& key = "secret");

    runtime::event_loop loop;
    proxy::wire_names names = platform::wire_names();
    model::milliseconds boot_offset{0};
    proxy::relay_context context;
    std::vector<proxy::exchange_report> reports;
    std::vector<std::string> outcomes;
    std::vector<proxy::connection_report> connections;

private:
    std::vector<std::unique_ptr<scripted_upstream>> m_upstreams;

public:
    proxy::relay relay;
};

/// A complete answer with the headers of a valid upstream.
std::string valid_answer(std::string const& body, std::string const& more = "");

/// The head of a valid chunked stream.
std::string stream_head();

std::string chunk(std::string const& bytes);

} // namespace caperjunction::test

#endif
