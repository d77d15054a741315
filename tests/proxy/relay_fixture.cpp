#include "proxy/relay_fixture.hpp"

#include <fmt/format.h>

#include <utility>

namespace caperjunction::test {
namespace {

routing::route make(std::string const& prefix,
                    routing::request_kind kind,
                    std::uint32_t attempts)
{
    routing::route result;
    result.name = prefix;
    result.authority = "desk.example";
    result.prefix = prefix;
    result.kind = kind;
    result.max_attempts = attempts;
    result.timeout = 2'000ms;
    result.latency_target = 100ms;
    result.split = {{"ledger", 1}};
    return result;
}

} // namespace

proxy::relay_settings test_settings()
{
    proxy::relay_settings result;
    result.listen = {"127.0.0.1", 0};
    result.connect_timeout = 200ms;
    return result;
}

routing::configuration test_configuration()
{
    using routing::request_kind;
    routing::configuration result;
    result.version = 1;
    result.routes = {make("/book/", request_kind::at_most_once, 2),
                     make("/view/", request_kind::idempotent, 2),
                     make("/stream/", request_kind::stream, 1),
                     make("/resume/", request_kind::stream, 3),
                     make("/short/", request_kind::at_most_once, 1)};
    result.routes.push_back(make("/other/", request_kind::idempotent, 2));
    result.routes.back().split = {{"other", 1}};
    result.routes[2].max_event_gap = 60ms;
    result.routes[3].resumable = true;
    result.routes[4].timeout = 300ms;
    result.teams = {{"desk", {"secret"}, {}}};
    result.limits.header_bytes = 4'096;
    result.limits.body_bytes = 100'000;
    return result;
}

relay_fixture::relay_fixture(runtime::clock clock)
    : loop(std::move(clock))
    , context(
          loop,
          names,
          test_settings(),
          [this] {
              return loop.now() + boot_offset;
          },
          [](std::string const&) {
              return routing::location{};
          })
    , relay(context)
{
    context.table =
        std::make_shared<routing::route_table const>(test_configuration());
    context.known.upstreams = 1;
    context.keys.renew(loop.now());
    context.on_ended = [this](proxy::exchange_report const& ended) {
        reports.push_back(ended);
        outcomes.emplace_back(ended.outcome);
    };
    context.on_connection_ended =
        [this](proxy::connection_report const& ended) {
            connections.push_back(ended);
            connections.back().id = {};
        };
}

scripted_upstream&
relay_fixture::add(std::string const& id,
                   std::string const& service,
                   std::function<script(received const&)> answer)
{
    m_upstreams.push_back(
        std::make_unique<scripted_upstream>(loop, std::move(answer)));
    routing::upstream described;
    described.id = id;
    described.service = service;
    described.at = m_upstreams.back()->at();
    described.slots = 4;
    context.directory.put(described);
    return *m_upstreams.back();
}

void make_history(proxy::relay_context& context, model::milliseconds time)
{
    context.software = {};
    for (auto age = time; age > 0ms; age -= 1s) {
        context.software.observe(context.directory, context.loop.now() - age);
    }
}

void relay_fixture::age_history(model::milliseconds time)
{
    make_history(context, time);
}

void relay_fixture::set_idle_timeout(model::milliseconds timeout)
{
    auto lists = context.table->config();
    lists.limits.idle_timeout = timeout;
    context.table = std::make_shared<routing::route_table const>(lists);
}

std::shared_ptr<plain_client> relay_fixture::connect()
{
    auto result = std::make_shared<plain_client>();
    auto* const raw = result.get();
    result->stream = proxy::tcp_stream::connect(
        loop,
        {"127.0.0.1", relay.port()},
        1'000ms,
        {nullptr,
         [raw](std::string_view bytes) {
             raw->received_bytes.append(bytes);
         },
         [raw](proxy::connection_end how) {
             raw->closed = true;
             raw->broken = how != proxy::connection_end::closed;
         },
         nullptr});
    return result;
}

std::shared_ptr<plain_client> relay_fixture::send(std::string const& text)
{
    auto result = connect();
    result->stream->write(text);
    return result;
}

bool relay_fixture::run_until(std::function<bool()> const& done)
{
    auto const limit = loop.now() + 5s;
    bool timed_out = false;
    auto const timer = loop.after(5s, [&timed_out] {
        timed_out = true;
    });
    while (!done() && !timed_out && loop.now() < limit) {
        loop.run_once();
    }
    loop.cancel(timer);
    return done();
}

void relay_fixture::run_for(model::milliseconds time)
{
    bool over = false;
    loop.after(time, [&over] {
        over = true;
    });
    run_until([&over] {
        return over;
    });
}

std::string relay_fixture::request(std::string const& path,
                                   std::string const& id,
                                   std::string const& more,
                                   std::string const& body,
                                   std::string const& key)
{
    return fmt::format("POST {}x?q=1 HTTP/1.1\r\nHost: desk.example\r\n"
                       "Attempt-Id: {}\r\nDeadline-Ms: 1500\r\n"
                       "Authorization: Bearer {}\r\n{}"
                       "Content-Length: {}\r\n\r\n{}",
                       path,
                       id,
                       key,
                       more,
                       body.size(),
                       body);
}

std::string valid_answer(std::string const& body, std::string const& more)
{
    return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: @ID@\r\n"
                       "Response-Seal: s1\r\n{}Content-Length: {}\r\n\r\n{}",
                       more,
                       body.size(),
                       body);
}

std::string stream_head()
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: @ID@\r\nResponse-Seal: s1\r\n"
           "Content-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(std::string const& bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

} // namespace caperjunction::test
