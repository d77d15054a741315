#include "net/engine_reader.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace caperjunction::net {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr std::size_t max_answer_bytes = 1'048'576;

upstream_timeouts reader_timeouts()
{
    upstream_timeouts timeouts;
    timeouts.first_byte = model::milliseconds{2'000};
    timeouts.progress = model::milliseconds{2'000};
    return timeouts;
}

std::uint32_t read_count(json const& from, char const* field)
{
    auto const found = from.find(field);
    return found != from.end() && found->is_number_unsigned()
               ? found->get<std::uint32_t>()
               : 0;
}

/// Answer of a call in progress.
struct pending_answer
{
    int status = 0;
    std::string body;
};

} // namespace

engine_reader::engine_reader(runtime::event_loop& loop)
    : m_loop(loop)
    , m_client(loop, reader_timeouts())
    , m_timer(loop.every(call_period, [this] {
        request_next();
    }))
{
}

engine_reader::~engine_reader()
{
    m_loop.cancel(m_timer);
}

void engine_reader::set_engines(std::vector<model::engine> const& engines)
{
    std::vector<known_engine> known;
    for (model::engine const& engine : engines) {
        known_engine const* const previous = find(engine.name);
        std::uint64_t const sequence =
            previous == nullptr ? 0 : previous->sequence;
        known.push_back({engine.name, engine.address, sequence, false});
    }
    m_engines = std::move(known);
    m_next = 0;
}

engine_reader::known_engine* engine_reader::find(std::string const& name)
{
    for (known_engine& engine : m_engines) {
        if (engine.name == name) {
            return &engine;
        }
    }
    return nullptr;
}

void engine_reader::request_next()
{
    if (m_engines.empty()) {
        return;
    }
    known_engine& engine = m_engines[m_next % m_engines.size()];
    if (m_cache_next) {
        ++m_next;
        start_request(engine,
                      fmt::format("/v1/cache_events?after={}", engine.sequence),
                      &engine_reader::handle_cache_events);
    } else {
        start_request(engine, "/v1/load", &engine_reader::handle_load);
    }
    m_cache_next = !m_cache_next;
}

void engine_reader::start_request(known_engine& engine,
                                  std::string path,
                                  body_handler handler)
{
    upstream_call call;
    call.to = engine.address;
    call.method = "GET";
    call.path = std::move(path);
    call.max_body_bytes = max_answer_bytes;
    auto const state = std::make_shared<pending_answer>();
    call_hooks hooks;
    hooks.head = [state](call_head const& head) {
        state->status = head.status;
    };
    hooks.body = [state](std::string_view bytes) {
        state->body.append(bytes);
    };
    hooks.done = [this, state, handler, name = engine.name](call_end end) {
        if (end == call_end::complete && state->status == status_ok) {
            (this->*handler)(name, state->body);
        }
    };
    m_client.start(call, std::move(hooks));
}

void engine_reader::handle_load(std::string const& name,
                                std::string const& body)
{
    json const load = json::parse(body, nullptr, false);
    if (!load.is_object()) {
        return;
    }
    decide::engine_report report;
    report.engine = name;
    report.measured_at =
        m_loop.now() - model::milliseconds{read_count(load, "taken_ms_ago")};
    report.running = read_count(load, "running");
    report.waiting = read_count(load, "waiting");
    if (load.contains("kv_used") && load["kv_used"].is_number()) {
        report.kv_used = load["kv_used"].get<double>();
    }
    if (load.contains("models") && load["models"].is_array()) {
        for (json const& item : load["models"]) {
            if (item.is_string()) {
                report.models.push_back(item.get<std::string>());
            }
        }
    }
    reported.emit(report);
}

// Emits one message per event, so that the receiver detects a gap in the
// sequence at its exact position.
void engine_reader::handle_cache_events(std::string const& name,
                                        std::string const& body)
{
    json const answer = json::parse(body, nullptr, false);
    known_engine* const engine = find(name);
    if (engine == nullptr || !answer.is_object() || !answer.contains("events")
        || !answer["events"].is_array()) {
        return;
    }
    for (json const& event : answer["events"]) {
        if (!event.is_object() || !event.contains("block")
            || !event["block"].is_number_unsigned() || !event.contains("seq")
            || !event["seq"].is_number_unsigned()) {
            continue;
        }
        decide::cache_changed change;
        change.engine = name;
        change.sequence = event["seq"].get<std::uint64_t>();
        std::uint64_t const block = event["block"].get<std::uint64_t>();
        bool const stored = event.value("kind", "") == "stored";
        (stored ? change.stored : change.evicted).push_back(block);
        engine->sequence = std::max(engine->sequence, change.sequence);
        cache_changed.emit(change);
    }
}

} // namespace caperjunction::net
