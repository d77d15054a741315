#include "site.hpp"

#include "lists/key_hash.hpp"
#include "runtime/log_line.hpp"

#include <event2/event.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace caperjunction::tests {
namespace {

constexpr std::chrono::seconds patience{20};
constexpr char const* salt = "0123456789abcdef0123456789abcdef";

std::string plans_text()
{
    return fmt::format(
        R"({{"tiers":[{{"name":"top","rank":0,"guaranteed_share":0.5}}],
        "classes":[{{"name":"questions","tier":"top","max_wait_ms":3000,
        "first_token_ms":2000,"retry_ratio":1.0}}],
        "plans":[{{"name":"gold","classes":["questions"]}},
                 {{"name":"poor","classes":["questions"]}}],
        "customers":[{{"name":"cellar","teams":[
        {{"name":"desk","plan":"gold","keys":[
            {{"id":"desk","salt":"0123456789abcdef0123456789abcdef","sha256":"{}"}}]}},
        {{"name":"poor","plan":"poor","keys":[
            {{"id":"poor","salt":"0123456789abcdef0123456789abcdef","sha256":"{}"}}]}}]}}]}})",
        lists::hash_key(salt, site::key),
        lists::hash_key(salt, "poor.secret"));
}

constexpr char const* entitlements_text =
    R"({"models":[{"name":"drafter"},{"name":"absent"}],
    "services":[{"name":"ledger","home_region":"west","calls":[
      {"method":"POST","path_prefix":"/reserve","repeatable":false},
      {"method":"GET","path_prefix":"/","repeatable":true}]}],
    "entitlements":[{"plan":"gold","models":["drafter","absent"],
                     "services":["ledger"]}]})";

constexpr char const* hosts_text =
    R"({"hosts":[{"name":"host-1","region":"west","data_centre":"west-a",
    "callers":{"address":"127.0.0.1","port":1},
    "peers":{"address":"127.0.0.1","port":2}}]})";

std::string upstreams_text(site const& made)
{
    nlohmann::json engines = nlohmann::json::array();
    for (std::size_t place = 0; place < made.engines.size(); ++place) {
        engines.push_back({{"name", fmt::format("engine-{}", place)},
                           {"region", "west"},
                           {"data_centre", "west-a"},
                           {"address",
                            {{"address", "127.0.0.1"},
                             {"port", made.engines[place]->port()}}},
                           {"models", {"drafter"}},
                           {"slots", 8}});
    }
    nlohmann::json const all{
        {"engines", engines},
        {"services",
         {{{"service", "ledger"},
           {"name", "ledger-1"},
           {"region", "west"},
           {"data_centre", "west-a"},
           {"address",
            {{"address", "127.0.0.1"}, {"port", made.service->port()}}}}}}};
    return all.dump();
}

} // namespace

site::site(site_options options)
    : m_client(loop, {})
{
    runtime::log_to([](std::string_view /*line*/) {});
    for (std::size_t place = 0; place < options.engines; ++place) {
        stand_ins::engine_settings engine;
        engine.tokens_per_second = options.tokens_per_second;
        engine.first_token = std::chrono::milliseconds(5);
        engine.name = fmt::format("engine-{}", place);
        engines.push_back(
            std::make_unique<stand_ins::engine>(loop.base(), engine));
    }
    service = std::make_unique<stand_ins::service>(
        loop.base(), stand_ins::service_settings{});
    stand_ins::platform_settings published;
    published.values = {{"plans", plans_text()},
                        {"entitlements", entitlements_text},
                        {"hosts", hosts_text},
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
        throw std::runtime_error("the site's lists were not accepted");
    }
    // One more turn, in which the relay gets the lists too.
    run_for(std::chrono::milliseconds(5));
}

site::~site() = default;

bool site::run_until(std::function<bool()> const& done)
{
    auto const limit = std::chrono::steady_clock::now() + patience;
    while (!done() && std::chrono::steady_clock::now() < limit) {
        // Timers of the loop wake it, so that one turn never waits long.
        loop.after(std::chrono::milliseconds(2), [] {});
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    return done();
}

void site::run_for(model::milliseconds time)
{
    bool over = false;
    loop.after(time, [&over] {
        over = true;
    });
    run_until([&over] {
        return over;
    });
}

std::shared_ptr<answer> site::call(std::string const& path,
                                   std::string const& body,
                                   std::vector<net::header> headers)
{
    auto made = std::make_shared<answer>();
    net::upstream_call call;
    call.to = {"127.0.0.1", relay->port()};
    call.path = path;
    call.body = body;
    call.method = body.empty() ? "GET" : "POST";
    call.headers = std::move(headers);
    call.headers.push_back({"Authorization", std::string("Bearer ") + key});
    m_latest = m_client.start(call,
                              {[made](net::call_head const& head) {
                                   made->status = head.status;
                               },
                               [made](std::string_view bytes) {
                                   made->body.append(bytes);
                               },
                               [made](net::call_end end) {
                                   made->ended = true;
                                   made->end = end;
                               }});
    return made;
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

void site::hang_up()
{
    m_client.cancel(m_latest);
}

bool site::wait(std::shared_ptr<answer> const& pending)
{
    return run_until([pending] {
        return pending->ended;
    });
}

std::uint64_t site::total(std::uint64_t stand_ins::engine_counters::*what) const
{
    std::uint64_t sum = 0;
    for (auto const& engine : engines) {
        sum += engine->counters().*what;
    }
    return sum;
}

std::string site::admin(std::string const& path)
{
    auto made = std::make_shared<answer>();
    net::upstream_call call;
    call.to = {"127.0.0.1", control->admin_port()};
    call.path = path;
    call.method = "GET";
    m_client.start(call,
                   {[made](net::call_head const& head) {
                        made->status = head.status;
                    },
                    [made](std::string_view bytes) {
                        made->body.append(bytes);
                    },
                    [made](net::call_end end) {
                        made->ended = true;
                        made->end = end;
                    }});
    wait(made);
    return made->body;
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
    // The stand-in marks its tokens with the prompt: t0-ce70 t1-ce70 ...
    std::size_t const dash = tokens.find('-');
    std::size_t const space = tokens.find(' ');
    if (dash == std::string::npos || space == std::string::npos) {
        return "no tokens";
    }
    std::string const mark = tokens.substr(dash, space - dash + 1);
    std::string text;
    for (int place = 0; place < count; ++place) {
        text += fmt::format("t{}{}", place, mark);
    }
    return text;
}

} // namespace caperjunction::tests
