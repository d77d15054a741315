#include "stand_ins/service.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace caperjunction::stand_ins {

service::service(event_base* base, service_settings settings)
    : m_base(base)
    , m_settings(std::move(settings))
    , m_server(base,
               m_settings.listen,
               [this](std::shared_ptr<exchange> const& call) {
                   handle(call);
               })
{
}

service::~service()
{
    m_server.close();
}

void service::handle(std::shared_ptr<exchange> const& call)
{
    std::string const path = call->path();
    if (path.compare(0, 8, "/control") == 0) {
        handle_control(*call);
        return;
    }
    if (m_crash_before) {
        call->abort();
        return;
    }
    // Read here because the request is no longer accessible if the client
    // disconnects before the execution.
    std::string const key = call->header("Idempotency-Key");
    std::string const method = call->method();
    if (m_settings.delay.count() == 0) {
        execute(*call, key, method, path);
        return;
    }
    auto const entry = m_delayed.emplace(m_delayed.end());
    *entry =
        std::make_unique<timer>(m_base, [this, entry, call, key, method, path] {
            execute(*call, key, method, path);
            m_delayed.erase(entry);
        });
    (*entry)->start(m_settings.delay);
}

void service::execute(exchange& call,
                      std::string const& key,
                      std::string const& method,
                      std::string const& path)
{
    std::uint64_t const count = ++m_executions[key];
    if (m_crash_after) {
        call.abort();
        return;
    }
    nlohmann::json const answer{{"service", m_settings.name},
                                {"method", method},
                                {"path", path},
                                {"key", key},
                                {"execution", count}};
    call.reply_json(200, answer.dump());
}

void service::handle_control(exchange& call)
{
    if (call.path() == "/control/executions") {
        call.reply_json(200, nlohmann::json(m_executions).dump());
        return;
    }
    auto const body = nlohmann::json::parse(call.body(), nullptr, false);
    if (!body.is_object()) {
        call.reply_json(400, R"({"error":"not an object"})");
        return;
    }
    m_crash_before = body.value("crash_before", m_crash_before);
    m_crash_after = body.value("crash_after", m_crash_after);
    m_settings.delay = std::chrono::milliseconds(
        body.value("delay_ms", m_settings.delay.count()));
    call.reply_json(200, "{}");
}

} // namespace caperjunction::stand_ins
