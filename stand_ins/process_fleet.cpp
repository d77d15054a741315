#include "stand_ins/process_fleet.hpp"

#include "stand_ins/run_loop.hpp"
#include "stand_ins/site_lists.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace caperjunction::stand_ins {
namespace {

constexpr char const* secret = "only-for-tests-0123456789-0123456789";

net::upstream_timeouts caller_timeouts()
{
    net::upstream_timeouts timeouts;
    timeouts.first_byte = std::chrono::milliseconds(60'000);
    timeouts.progress = std::chrono::milliseconds(60'000);
    return timeouts;
}

} // namespace

process_fleet::process_fleet(runtime::event_loop& loop,
                             process_fleet_options options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_hosts(m_options.hosts)
    , m_client(loop, caller_timeouts())
{
    std::vector<site_member> listed;
    for (std::size_t index = 0; index < m_options.engines; ++index) {
        engine_settings settings = m_options.engine;
        settings.name = fmt::format("engine-{}", index);
        engines.push_back(std::make_unique<engine>(loop.base(), settings));
        listed.push_back({settings.name, engines.back()->address(), {}});
    }
    service =
        std::make_unique<stand_ins::service>(loop.base(), m_options.service);
    platform_settings published;
    published.values = {
        {"plans", site_plans()},
        {"entitlements", site_entitlements()},
        {"hosts", site_hosts({})},
        {"upstreams",
         site_upstreams(listed, {{"ledger-1", service->address(), {}}})}};
    platform = std::make_unique<stand_ins::platform>(loop.base(), published);
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        m_hosts[index].name = fmt::format("host-{}", index);
        m_options.flags.push_back("--first_fleet");
        start_host(index);
        m_options.flags.pop_back();
    }
    publish_hosts();
}

process_fleet::~process_fleet() = default;

void process_fleet::start_host(std::size_t index)
{
    host_process& entry = m_hosts[index];
    std::vector<std::string> arguments{
        "serve",
        "--host_name=" + entry.name,
        "--region=west",
        "--data_centre=west-a",
        "--listen=127.0.0.1:0",
        "--admin_listen=127.0.0.1:0",
        "--peer_listen=127.0.0.1:0",
        fmt::format("--platform=127.0.0.1:{}", platform->port()),
        fmt::format("--peer_secret={}", secret)};
    arguments.insert(
        arguments.end(), m_options.flags.begin(), m_options.flags.end());
    bool const is_replacement = entry.process != nullptr;
    entry.process =
        std::make_unique<child_process>(m_options.program, arguments);
    entry.callers = {"127.0.0.1", entry.process->port("callers_port")};
    entry.admin = {"127.0.0.1", entry.process->port("admin_port")};
    entry.peers = {"127.0.0.1", entry.process->port("peer_port")};
    if (is_replacement) {
        publish_hosts();
    }
}

void process_fleet::publish_hosts()
{
    std::vector<site_member> listed;
    for (host_process const& entry : m_hosts) {
        listed.push_back({entry.name, entry.callers, entry.peers});
    }
    platform->publish("hosts", site_hosts(listed));
}

bool process_fleet::run_until(std::function<bool()> const& done)
{
    return stand_ins::run_until(m_loop, done);
}

void process_fleet::run_for(model::milliseconds time)
{
    stand_ins::run_for(m_loop, time);
}

bool process_fleet::is_joined(std::size_t index)
{
    auto const ready = admin(index, "/readyz");
    auto const status = admin(index, "/status");
    if (!wait(ready) || !wait(status) || ready->status != 200) {
        return false;
    }
    auto const body = nlohmann::json::parse(status->body, nullptr, false);
    std::size_t alive = 0;
    for (auto const& [name, state] : body["hosts"].items()) {
        alive += state == "alive" ? 1 : 0;
    }
    return alive == m_hosts.size();
}

bool process_fleet::wait_until_joined()
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        if (!run_until([this, index] {
                return is_joined(index);
            })) {
            return false;
        }
    }
    return true;
}

std::shared_ptr<caller_answer>
process_fleet::call(net::upstream_call const& call)
{
    auto answer = std::make_shared<caller_answer>();
    m_client.start(call,
                   {[answer](net::call_head const& head) {
                        answer->status = head.status;
                    },
                    [answer](std::string_view bytes) {
                        answer->body.append(bytes);
                    },
                    [answer](net::call_end end) {
                        answer->ended = true;
                        answer->end = end;
                    }});
    return answer;
}

std::shared_ptr<caller_answer>
process_fleet::chat(std::size_t index, std::string const& prompt, int tokens)
{
    nlohmann::json const body{
        {"model", site_model},
        {"stream", true},
        {"max_tokens", tokens},
        {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    net::upstream_call request;
    request.to = m_hosts[index].callers;
    request.path = "/v1/chat/completions";
    request.body = body.dump();
    request.headers = {{"Authorization", std::string("Bearer ") + site_key}};
    return call(request);
}

std::shared_ptr<caller_answer>
process_fleet::book(std::size_t index, std::string const& idempotency_key)
{
    net::upstream_call request;
    request.to = m_hosts[index].callers;
    request.path = "/services/ledger/reserve";
    request.body = R"({"case":1})";
    request.headers = {{"Authorization", std::string("Bearer ") + site_key},
                       {"Idempotency-Key", idempotency_key}};
    return call(request);
}

std::shared_ptr<caller_answer> process_fleet::admin(std::size_t index,
                                                    std::string const& path)
{
    net::upstream_call request;
    request.to = m_hosts[index].admin;
    request.path = path;
    request.method = "GET";
    return call(request);
}

bool process_fleet::wait(std::shared_ptr<caller_answer> const& pending)
{
    return run_until([&pending] {
        return pending->ended;
    });
}

} // namespace caperjunction::stand_ins
