#include "site.hpp"

#include "runtime/log_line.hpp"
#include "stand_ins/run_loop.hpp"
#include "stand_ins/site_lists.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace caperjunction::tests {
namespace {

std::string upstreams_text(site const& owner)
{
    std::vector<stand_ins::site_member> engines;
    for (std::size_t index = 0; index < owner.engines.size(); ++index) {
        engines.push_back({fmt::format("engine-{}", index),
                           owner.engines[index]->address(),
                           {}});
    }
    return stand_ins::site_upstreams(
        engines, {{"ledger-1", owner.service->address(), {}}});
}

} // namespace

site::site(site_options options)
    : m_client(loop, {})
{
    runtime::set_log_sink([](std::string_view /*line*/) {});
    for (std::size_t index = 0; index < options.engines; ++index) {
        stand_ins::engine_settings engine;
        engine.tokens_per_second = options.tokens_per_second;
        engine.first_token_delay = std::chrono::milliseconds(5);
        engine.name = fmt::format("engine-{}", index);
        engines.push_back(
            std::make_unique<stand_ins::engine>(loop.base(), engine));
    }
    service = std::make_unique<stand_ins::service>(
        loop.base(), stand_ins::service_settings{});
    stand_ins::platform_settings published;
    published.values = {{"plans", stand_ins::site_plans()},
                        {"entitlements", stand_ins::site_entitlements()},
                        {"hosts",
                         stand_ins::site_hosts(
                             {{"host-1", {"127.0.0.1", 1}, {"127.0.0.1", 2}}})},
                        {"upstreams", upstreams_text(*this)}};
    platform = std::make_unique<stand_ins::platform>(loop.base(), published);

    program::settings settings;
    settings.host_name = "host-1";
    settings.region = "west";
    settings.data_centre = "west-a";
    settings.admin_listen = {"127.0.0.1", 0};
    settings.platform = platform->address();
    settings.relay.upstreams = options.timeouts;
    settings.relay.max_body_bytes = options.max_body_bytes;
    settings.first_fleet = true;
    relay = std::make_unique<net::relay>(
        loop, settings.relay, [this](net::relay_report& report) {
            loop.defer([this, report]() mutable {
                control->handle(report);
            });
            return true;
        });
    control = std::make_unique<program::control>(
        loop, settings, metrics, [this](net::relay_message message) {
            loop.defer([this, message]() mutable {
                relay->handle(message);
            });
        });
    if (!run_until([this] {
            return control->ready();
        })) {
        throw std::runtime_error("the lists of the site were not accepted");
    }
    // One more iteration, in which the relay also receives the lists.
    run_for(std::chrono::milliseconds(5));
}

site::~site() = default;

bool site::run_until(std::function<bool()> const& done)
{
    return stand_ins::run_until(loop, done);
}

void site::run_for(model::milliseconds time)
{
    stand_ins::run_for(loop, time);
}

std::shared_ptr<answer> site::call(std::string const& path,
                                   std::string const& body,
                                   std::vector<net::header> headers)
{
    auto result = std::make_shared<answer>();
    net::upstream_call call;
    call.to = {"127.0.0.1", relay->port()};
    call.path = path;
    call.body = body;
    call.method = body.empty() ? "GET" : "POST";
    call.headers = std::move(headers);
    call.headers.push_back(
        {"Authorization", std::string("Bearer ") + stand_ins::site_key});
    m_latest = m_client.start(call,
                              {[result](net::call_head const& head) {
                                   result->status = head.status;
                               },
                               [result](std::string_view bytes) {
                                   result->body.append(bytes);
                               },
                               [result](net::call_end end) {
                                   result->ended = true;
                                   result->end = end;
                               }});
    return result;
}

std::shared_ptr<answer>
site::chat(std::string const& prompt, int tokens, bool stream)
{
    nlohmann::json const body{
        {"model", "drafter"},
        {"stream", stream},
        {"max_tokens", tokens},
        {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    return call("/v1/chat/completions", body.dump());
}

void site::disconnect()
{
    m_client.cancel(m_latest);
}

bool site::wait(std::shared_ptr<answer> const& pending)
{
    return run_until([pending] {
        return pending->ended;
    });
}

std::uint64_t
site::total(std::uint64_t stand_ins::engine_counters::*counter) const
{
    std::uint64_t sum = 0;
    for (auto const& engine : engines) {
        sum += engine->counters().*counter;
    }
    return sum;
}

std::string site::admin(std::string const& path)
{
    auto result = std::make_shared<answer>();
    net::upstream_call call;
    call.to = {"127.0.0.1", control->admin_port()};
    call.path = path;
    call.method = "GET";
    m_client.start(call,
                   {[result](net::call_head const& head) {
                        result->status = head.status;
                    },
                    [result](std::string_view bytes) {
                        result->body.append(bytes);
                    },
                    [result](net::call_end end) {
                        result->ended = true;
                        result->end = end;
                    }});
    wait(result);
    return result->body;
}

std::string tokens_of(std::string const& events)
{
    std::string text;
    std::size_t start = 0;
    while (start < events.size()) {
        std::size_t const end =
            std::min(events.find('\n', start), events.size());
        std::string const line = events.substr(start, end - start);
        start = end + 1;
        if (line.rfind("data: {", 0) != 0) {
            continue;
        }
        auto const event = nlohmann::json::parse(line.substr(6));
        if (!event.contains("choices") || event["choices"].empty()) {
            continue;
        }
        auto const& delta = event["choices"][0]["delta"];
        text += delta.value("content", "");
    }
    return text;
}

std::string expected_tokens(std::string const& tokens, int count)
{
    // The stand-in appends a hash of the prompt: t0-ce70 t1-ce70 ...
    std::size_t const dash = tokens.find('-');
    std::size_t const space = tokens.find(' ');
    if (dash == std::string::npos || space == std::string::npos) {
        return "no tokens";
    }
    std::string const mark = tokens.substr(dash, space - dash + 1);
    std::string text;
    for (int index = 0; index < count; ++index) {
        text += fmt::format("t{}{}", index, mark);
    }
    return text;
}

} // namespace caperjunction::tests
