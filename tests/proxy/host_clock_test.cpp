#include "proxy/relay_fixture.hpp"
#include "stand_ins/child_process.hpp"

#include <absl/strings/escaping.h>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdlib>
#include <memory>
#include <optional>
#include <string>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

constexpr auto key_lifetime = 1'000ms;

std::string item(std::string const& key, std::string const& value, int revision)
{
    return fmt::format(
        R"({{"key":"{}","value":"{}","revision":{},"created_rev":{},"lease":0}})",
        key,
        absl::Base64Escape(value),
        revision,
        revision);
}

std::string json_answer(int status, std::string const& body)
{
    return fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}",
                       status,
                       body.size(),
                       body);
}

/// A host process, whose clock may misbehave, on a store that gives its list
/// once and turns away all that comes after.
class clock_site
{
public:
    explicit clock_site(std::string const& fault,
                        model::milliseconds lifetime = key_lifetime)
        : m_engine(m_loop,
                   [](received const&) -> script {
                       return {valid_answer("done")};
                   })
        , m_store(m_loop, [this](received const&) -> script {
            return {m_read_at ? json_answer(429, "{}") : list()};
        })
    {
        setenv("TEST_CLOCK_FAULT", fault.c_str(), 1);
        m_host = std::make_unique<stand_ins::child_process>(
            PROGRAM_FOLDER "/caperjunction_faulty_clock",
            std::vector<std::string>{
                "route",
                "--host_name=h",
                "--region=west",
                "--data_centre=a",
                fmt::format("--platform=127.0.0.1:{}", m_store.at().port),
                "--listen=127.0.0.1:0",
                "--admin_listen=127.0.0.1:0",
                "--metrics_listen=127.0.0.1:0",
                "--peer_listen=127.0.0.1:0",
                fmt::format("--key_lifetime={}ms", lifetime.count())});
        unsetenv("TEST_CLOCK_FAULT");
    }

    std::string log() const
    {
        return m_host->output();
    }

    bool has_logged(std::string const& text)
    {
        return run_until([&] {
            return log().find(text) != std::string::npos;
        });
    }

    /// Time since the store gave its list.
    model::time_point::duration list_age() const
    {
        return m_loop.now() - *m_read_at;
    }

    void run_to_list_age(model::milliseconds age)
    {
        run_until([&] {
            return list_age() >= age;
        });
    }

    /// Returns the first line of the answer to a request with a key.
    std::string ask()
    {
        std::string answer;
        auto const stream =
            proxy::tcp_stream::connect(m_loop,
                                       {"127.0.0.1", port()},
                                       1'000ms,
                                       {nullptr,
                                        [&answer](std::string_view bytes) {
                                            answer.append(bytes);
                                        },
                                        [](proxy::connection_end) {},
                                        nullptr});
        stream->write("GET /ledger/x HTTP/1.1\r\nHost: desk.example\r\n"
                      "Attempt-Id: a1\r\nDeadline-Ms: 800\r\n"
                      "Authorization: Bearer secret\r\n"
                      "Content-Length: 0\r\n\r\n");
        run_until([&answer] {
            return answer.find("\r\n\r\n") != std::string::npos;
        });
        stream->reset();
        return answer.substr(0, answer.find("\r\n"));
    }

    bool serves()
    {
        return ask().find("HTTP/1.1 200") == 0;
    }

    std::size_t runs() const
    {
        return m_engine.requests.size();
    }

private:
    bool run_until(std::function<bool()> const& done)
    {
        auto const limit = m_loop.now() + 10s;
        while (!done() && m_loop.now() < limit) {
            m_loop.after(5ms, [] {});
            m_loop.run_once();
        }
        return done();
    }

    std::uint16_t port()
    {
        std::string const field = "callers_port=";
        REQUIRE(has_logged(field));
        std::string const text = log();
        return static_cast<std::uint16_t>(
            std::stoi(text.substr(text.find(field) + field.size())));
    }

    std::string list()
    {
        m_read_at = m_loop.now();
        std::string const config =
            R"({"version":2,"routes":[{"name":"r","host":"desk.example",)"
            R"("prefix":"/ledger/","route_type":"idempotent","service":"s",)"
            R"("max_attempts":1,"timeout_ms":800,"target_latency_ms":120,)"
            R"("priority":2}],"services":[{"name":"s","max_connections":9}],)"
            R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
            R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
            R"("tenants":[{"name":"t","api_keys":["secret"]}]})";
        std::string const engine = fmt::format(
            R"({{"service":"s","address":"127.0.0.1:{}","zone":"a","slots":4,)"
            R"("version":"1","state":"ready","born":1700000000000}})",
            m_engine.at().port);
        return json_answer(
            200,
            fmt::format(
                R"({{"items":[{},{}],"more_pages":false,"store_revision":9}})",
                item("op/config", config, 4),
                item("servers/i-1", engine, 5)));
    }

    runtime::event_loop m_loop;
    std::optional<model::time_point> m_read_at;
    scripted_upstream m_engine;
    scripted_upstream m_store;
    std::unique_ptr<stand_ins::child_process> m_host;
};

} // namespace

// A key is revoked while the host is out of touch. With a clock that the system
// refuses, that stands still, is slow or is stepped back, a lease that rests on
// that clock alone doesn't end, and nothing else shows it.
TEST_CASE("a host whose clock misbehaves refuses keys in time")
{
    for (std::string const fault :
         {"", "fails", "stands", "half", "back", "ahead"}) {
        CAPTURE(fault);
        clock_site site(fault);
        REQUIRE(site.has_logged("event=ready"));
        bool const serves_at_first = site.serves();
        // Beside load the lease may have ended before the request came.
        CHECK((serves_at_first || site.list_age() > key_lifetime / 4));
        site.run_to_list_age(key_lifetime + 100ms);
        auto const runs = site.runs();
        CHECK(site.ask().find("HTTP/1.1 503") == 0);
        CHECK(site.runs() == runs);
    }
}

// Guards against a host that goes on with keys although it no longer knows for
// how long it was suspended.
TEST_CASE("a host refuses keys once its clock can't be read")
{
    clock_site site("fails_later", 60'000ms);
    REQUIRE(site.has_logged("event=ready"));
    site.run_to_list_age(1'000ms);
    CHECK(site.ask().find("HTTP/1.1 503") == 0);
    CHECK(site.runs() == 0);
    CHECK(site.has_logged("event=clock_lost clock=boottime"));
}

// Without a line, a clock that is refused or slow looks like an old program.
TEST_CASE("a host names the clock that it uses, and one that is behind")
{
    clock_site refused("fails");
    CHECK(refused.has_logged("clock=time_of_day"));
    clock_site slow("half");
    CHECK(slow.has_logged("event=clock_behind clock=boottime"));
}
