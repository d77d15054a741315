#include "net/platform_reader.hpp"

#include "model/limits.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace caperjunction::net {
namespace {

constexpr int status_ok = 200;
constexpr int status_not_modified = 304;
// Twice the maximum value size leaves space for the surrounding JSON.
constexpr std::size_t max_answer_bytes = model::limits::max_list_bytes * 2;

/// Answer of a read in progress.
struct pending_answer
{
    int status = 0;
    std::string body;
};

upstream_timeouts timeouts_for(model::milliseconds watch_wait)
{
    // A watch sends nothing while it waits, which is not a fault.
    constexpr model::milliseconds margin{5'000};
    upstream_timeouts timeouts;
    timeouts.first_byte = watch_wait + margin;
    return timeouts;
}

/// Returns false if the answer does not have the expected format.
bool parse_answer(fleet::value_read& into, std::string const& body)
{
    nlohmann::json const answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("revision")
        || !answer["revision"].is_number_unsigned()
        || !answer.contains("value")) {
        return false;
    }
    into.revision = answer["revision"].get<std::uint64_t>();
    into.body = std::make_shared<std::string const>(answer["value"].dump());
    return true;
}

} // namespace

platform_reader::platform_reader(runtime::event_loop& loop,
                                 model::endpoint service,
                                 model::milliseconds watch_wait)
    : m_loop(loop)
    , m_service(std::move(service))
    , m_watch_wait(watch_wait)
    , m_client(loop, timeouts_for(watch_wait))
{
}

void platform_reader::read(fleet::published_value value)
{
    start(value, fmt::format("/v1/values/{}", fleet::to_string(value)));
}

void platform_reader::watch(fleet::published_value value,
                            std::uint64_t after,
                            model::milliseconds wait)
{
    start(value,
          fmt::format("/v1/values/{}?after={}&wait_ms={}",
                      fleet::to_string(value),
                      after,
                      std::min(wait, m_watch_wait).count()));
}

void platform_reader::start(fleet::published_value value, std::string path)
{
    upstream_call call;
    call.to = m_service;
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
    model::time_point const started = m_loop.now();
    hooks.done = [this, state, value, started](call_end end) {
        fleet::value_read read{value, 0, nullptr};
        bool const completed = end == call_end::complete;
        if (completed && state->status == status_ok
            && parse_answer(read, state->body)) {
            arrived.emit(read, started);
            return;
        }
        ended.emit({value, !completed || state->status != status_not_modified},
                   started);
    };
    m_client.start(call, std::move(hooks));
}

} // namespace caperjunction::net
