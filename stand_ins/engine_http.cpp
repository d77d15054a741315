// The HTTP and JSON interface of the engine stand-in.
#include "stand_ins/engine.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace caperjunction::stand_ins {
namespace {

engine_faults parse_faults(nlohmann::json const& from, engine_faults faults)
{
    for (auto const& [field, value] : from.items()) {
        if (field == "crash_after_tokens" && value.is_number_unsigned()) {
            faults.crash_after_tokens = value.get<std::uint32_t>();
        } else if (field == "stall_after_tokens") {
            faults.stall_after_tokens.reset();
            if (value.is_number_unsigned()) {
                faults.stall_after_tokens = value.get<std::uint32_t>();
            }
        } else if (field == "crash_on_text" && value.is_string()) {
            faults.crash_on_text = value.get<std::string>();
        } else if (field == "refuse" && value.is_boolean()) {
            faults.refuse = value.get<bool>();
        } else if (field == "slow_factor" && value.is_number()) {
            faults.slow_factor = value.get<double>();
        }
    }
    return faults;
}

bool is_set(nlohmann::json const& body, char const* field)
{
    auto const found = body.find(field);
    return found != body.end() && found->is_boolean() && found->get<bool>();
}

} // namespace

void engine::handle(std::shared_ptr<exchange> const& call)
{
    std::string const path = call->path();
    if (path.compare(0, 8, "/control") == 0) {
        handle_control(*call);
        return;
    }
    if (std::chrono::steady_clock::now() < m_available_at) {
        call->abort();
        return;
    }
    if (path == "/v1/chat/completions" || path == "/v1/completions") {
        generate(call);
    } else if (path == "/v1/load") {
        call->reply_json(200, load_json());
    } else if (path == "/v1/models") {
        call->reply_json(200, models_json());
    } else if (path == "/v1/cache_events") {
        constexpr int decimal = 10;
        std::string const after = call->query("after");
        call->reply_json(
            200,
            m_cache_events.read(std::strtoull(after.c_str(), nullptr, decimal),
                                std::chrono::steady_clock::now()));
    } else if (path == "/v1/orders") {
        handle_order(*call);
    } else {
        call->reply_json(404, R"({"error":{"message":"no such path"}})");
    }
}

void engine::handle_control(exchange& call)
{
    if (call.path() == "/control/counters") {
        call.reply_json(200, counters_json());
        return;
    }
    auto const body = nlohmann::json::parse(call.body(), nullptr, false);
    if (!body.is_object()) {
        call.reply_json(400, R"({"error":{"message":"not an object"}})");
        return;
    }
    set_faults(parse_faults(body, m_faults));
    if (is_set(body, "crash")) {
        crash();
    }
    if (is_set(body, "silence")) {
        stall_running();
    }
    call.reply_json(200, "{}");
}

void engine::handle_order(exchange& call)
{
    auto const order = nlohmann::json::parse(call.body(), nullptr, false);
    if (!order.is_object() || !order.contains("fencing")
        || !order["fencing"].is_number_unsigned()) {
        call.reply_json(400, R"({"error":{"message":"not an order"}})");
        return;
    }
    auto const fencing = order["fencing"].get<std::uint64_t>();
    if (m_settings.checks_fencing && fencing < m_highest_fencing) {
        ++m_counters.orders_refused;
        call.reply_json(409, R"({"error":{"message":"old fencing number"}})");
        return;
    }
    m_highest_fencing = std::max(m_highest_fencing, fencing);
    ++m_counters.orders_taken;
    std::string const model = order.value("model", "");
    auto& models = m_settings.models;
    auto const found = std::find(models.begin(), models.end(), model);
    if (order.value("action", "") == "load" && found == models.end()) {
        models.push_back(model);
    } else if (order.value("action", "") == "unload" && found != models.end()) {
        models.erase(found);
    }
    call.reply_json(200, models_json());
}

std::string engine::load_json() const
{
    auto const load = m_load.read(std::chrono::steady_clock::now());
    nlohmann::json const report{{"name", m_settings.name},
                                {"running", load.running},
                                {"waiting", load.waiting},
                                {"kv_used", load.kv_used},
                                {"models", m_settings.models},
                                {"taken_ms_ago", m_load.lag().count()}};
    return report.dump();
}

std::string engine::models_json() const
{
    nlohmann::json data = nlohmann::json::array();
    for (std::string const& name : m_settings.models) {
        data.push_back({{"id", name}, {"object", "model"}});
    }
    return nlohmann::json{{"object", "list"}, {"data", data}}.dump();
}

std::string engine::counters_json() const
{
    nlohmann::json const counters{{"requests", m_counters.requests},
                                  {"begun", m_counters.begun},
                                  {"finished", m_counters.finished},
                                  {"cancelled", m_counters.cancelled},
                                  {"refused", m_counters.refused},
                                  {"crashes", m_counters.crashes},
                                  {"resumed", m_counters.resumed},
                                  {"stalled", m_counters.stalled},
                                  {"tokens", m_counters.tokens},
                                  {"wasted_tokens", m_counters.wasted_tokens},
                                  {"orders_taken", m_counters.orders_taken},
                                  {"orders_refused", m_counters.orders_refused},
                                  {"running", running()},
                                  {"waiting", waiting()}};
    return counters.dump();
}

} // namespace caperjunction::stand_ins
