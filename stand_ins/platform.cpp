#include "stand_ins/platform.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace caperjunction::stand_ins {
namespace {

constexpr std::string_view values_path = "/v1/values/";
constexpr std::string_view weights_path = "/v1/weights/";
constexpr std::string_view control_path = "/control/";
constexpr std::string_view control_values_path = "/control/values/";
constexpr std::uint64_t max_wait_ms = 600'000;
constexpr std::uint64_t max_weight_bytes = 1 << 26;

bool has_prefix(std::string const& text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::uint64_t to_number(std::string const& text, std::uint64_t max_value)
{
    constexpr int decimal = 10;
    std::uint64_t const number = std::strtoull(text.c_str(), nullptr, decimal);
    return std::min(number, max_value);
}

std::string to_document(std::uint64_t revision, std::string const& json)
{
    return R"({"revision":)" + std::to_string(revision) + R"(,"value":)" + json
           + '}';
}

/// Returns the `on` field of the request body, true if it is missing.
bool is_on(exchange const& call)
{
    auto const body = nlohmann::json::parse(call.body(), nullptr, false);
    return !body.is_object() || body.value("on", true);
}

} // namespace

platform::platform(event_base* base, platform_settings settings)
    : m_base(base)
    , m_settings(std::move(settings))
    , m_server(base,
               m_settings.listen,
               [this](std::shared_ptr<exchange> const& call) {
                   handle(call);
               })
{
    for (auto const& [name, json] : m_settings.values) {
        m_values[name] = {1, json};
    }
}

platform::~platform()
{
    m_server.close();
}

void platform::publish(std::string const& name, std::string const& json)
{
    value& published = m_values[name];
    ++published.revision;
    published.json = json;
    answer_watches();
}

void platform::set_down(bool down)
{
    m_down = down;
    if (down) {
        m_watches.clear();
    }
}

void platform::set_stale(bool stale)
{
    if (stale && !m_stale) {
        m_stale_values = m_values;
    }
    m_stale = stale;
    answer_watches();
}

std::map<std::string, platform::value> const& platform::visible() const
{
    return m_stale ? m_stale_values : m_values;
}

bool platform::try_admit()
{
    auto const now = std::chrono::steady_clock::now();
    if (now - m_rate_window_start >= std::chrono::seconds(1)) {
        m_rate_window_start = now;
        m_calls_in_window = 0;
    }
    ++m_calls;
    ++m_calls_in_window;
    bool const admitted = m_calls_in_window <= m_settings.calls_per_second;
    m_refused += admitted ? 0 : 1;
    return admitted;
}

void platform::handle(std::shared_ptr<exchange> const& call)
{
    std::string const path = call->path();
    if (has_prefix(path, control_path)) {
        handle_control(*call);
        return;
    }
    if (!try_admit()) {
        call->add_header("Retry-After", "1");
        call->reply_json(429, R"({"error":"too many calls this second"})");
        return;
    }
    if (m_down) {
        call->reply_json(503, R"({"error":"down"})");
    } else if (has_prefix(path, values_path)) {
        read_value(call);
    } else if (has_prefix(path, weights_path)) {
        read_weights(call);
    } else {
        call->reply_json(404, R"({"error":"no such path"})");
    }
}

void platform::read_value(std::shared_ptr<exchange> const& call)
{
    std::string const name = call->path().substr(values_path.size());
    auto const found = visible().find(name);
    if (found == visible().end()) {
        call->reply_json(404, R"({"error":"no such value"})");
        return;
    }
    std::string const after = call->query("after");
    std::uint64_t const revision = found->second.revision;
    if (after.empty() || revision > to_number(after, UINT64_MAX)) {
        call->reply_json(200, to_document(revision, found->second.json));
        return;
    }
    std::chrono::milliseconds const wait(
        to_number(call->query("wait_ms"), max_wait_ms));
    if (wait.count() == 0) {
        call->reply(304, "application/json", "");
        return;
    }
    add_watch(call, name, to_number(after, UINT64_MAX), wait);
}

void platform::add_watch(std::shared_ptr<exchange> const& call,
                         std::string const& name,
                         std::uint64_t after,
                         std::chrono::milliseconds wait)
{
    auto const entry =
        m_watches.insert(m_watches.end(), {name, after, call, nullptr});
    entry->expiry = std::make_unique<timer>(m_base, [this, entry] {
        entry->call->reply(304, "application/json", "");
        m_watches.erase(entry);
    });
    entry->expiry->start(wait);
    call->on_closed([this, entry] {
        m_watches.erase(entry);
    });
}

void platform::answer_watches()
{
    for (auto entry = m_watches.begin(); entry != m_watches.end();) {
        auto const found = visible().find(entry->name);
        if (found == visible().end()
            || found->second.revision <= entry->after) {
            ++entry;
            continue;
        }
        entry->call->reply_json(
            200, to_document(found->second.revision, found->second.json));
        entry = m_watches.erase(entry);
    }
}

void platform::read_weights(std::shared_ptr<exchange> const& call)
{
    std::uint64_t const bytes =
        to_number(call->query("bytes"), max_weight_bytes);
    auto const now = std::chrono::steady_clock::now();
    std::chrono::duration<double> const transfer(
        static_cast<double>(bytes)
        / static_cast<double>(m_settings.weights_bytes_per_second));
    m_store_available_at =
        std::max(m_store_available_at, now)
        + std::chrono::duration_cast<std::chrono::microseconds>(transfer);
    auto const entry = m_downloads.emplace(m_downloads.end());
    *entry = std::make_unique<timer>(m_base, [this, entry, call, bytes] {
        call->reply(200, "application/octet-stream", std::string(bytes, '\0'));
        m_downloads.erase(entry);
    });
    (*entry)->start(std::chrono::duration_cast<std::chrono::microseconds>(
        m_store_available_at - now));
}

void platform::handle_control(exchange& call)
{
    std::string const path = call.path();
    if (has_prefix(path, control_values_path) && call.method() == "PUT") {
        std::string const name = path.substr(control_values_path.size());
        publish(name, call.body());
        call.reply_json(200,
                        to_document(m_values[name].revision, "\"published\""));
    } else if (path == "/control/down") {
        set_down(is_on(call));
        call.reply_json(200, "{}");
    } else if (path == "/control/stale") {
        set_stale(is_on(call));
        call.reply_json(200, "{}");
    } else if (path == "/control/counters") {
        nlohmann::json const counters{{"calls", m_calls},
                                      {"refused", m_refused},
                                      {"watches", m_watches.size()}};
        call.reply_json(200, counters.dump());
    } else {
        call.reply_json(404, R"({"error":"no such control"})");
    }
}

} // namespace caperjunction::stand_ins
