#include "stand_ins/engine.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace caperjunction::stand_ins {
namespace {

constexpr double us_per_second = 1e6;
// Share of the time to the first token that remains when the whole prompt is
// cached.
constexpr double cached_prefill_share = 0.2;

} // namespace

engine::engine(event_base* base, engine_settings settings)
    : m_base(base)
    , m_settings(std::move(settings))
    , m_load(m_settings.report_lag)
    , m_cache_events(m_settings.cache_event_lag, m_settings.cache_event_gap)
    , m_cache(m_settings.cache_blocks,
              [this](std::uint64_t block, bool stored) {
                  m_cache_events.add(
                      block, stored, std::chrono::steady_clock::now());
              })
    , m_cleanup_timer(base,
                      [this] {
                          m_ended.clear();
                      })
    , m_server(base,
               m_settings.listen,
               [this](std::shared_ptr<exchange> const& call) {
                   handle(call);
               })
{
}

engine::~engine()
{
    // Closing the server cancels the running generations. Without free slots
    // this cannot start the waiting ones.
    m_settings.slots = 0;
    m_server.close();
}

void engine::set_faults(engine_faults faults)
{
    m_faults = std::move(faults);
}

void engine::generate(std::shared_ptr<exchange> const& call)
{
    ++m_counters.requests;
    auto request = parse_generation(*call);
    if (!request) {
        call->reply_json(
            400,
            R"({"error":{"message":"not a request","type":"bad_request"}})");
        return;
    }
    auto const& models = m_settings.models;
    if (std::find(models.begin(), models.end(), request->model)
        == models.end()) {
        call->reply_json(
            404, R"({"error":{"message":"no such model","type":"not_found"}})");
        return;
    }
    if (m_faults.refuse) {
        ++m_counters.refused;
        call->add_header("Retry-After", "1");
        call->reply_json(503,
                         R"({"error":{"message":"refused","type":"refused"}})");
        return;
    }
    m_counters.resumed += request->resume_offset > 0 ? 1 : 0;
    enqueue(call, std::move(*request));
}

void engine::enqueue(std::shared_ptr<exchange> const& call,
                     generation_request request)
{
    std::uint32_t const priority = request.priority;
    auto answer = std::make_unique<generation>(
        m_base,
        call,
        std::move(request),
        generation::hooks{[this](generation& item) {
                              return before_token(item);
                          },
                          [this](generation& item) {
                              ++m_counters.finished;
                              remove(item);
                          }});
    generation* const added = answer.get();
    call->on_closed([this, added] {
        cancel(*added);
    });
    auto const less_urgent = std::find_if(
        m_waiting.begin(), m_waiting.end(), [priority](auto const& other) {
            return other->request().priority > priority;
        });
    m_waiting.insert(less_urgent, std::move(answer));
    start_next();
    record_load();
}

void engine::start_next()
{
    while (!m_waiting.empty() && m_running.size() < m_settings.slots) {
        m_running.splice(m_running.end(), m_waiting, m_waiting.begin());
        generation& answer = *m_running.back();
        ++m_counters.begun;
        answer.begin(timing_for(answer.request()));
    }
}

generation::timing engine::timing_for(generation_request const& request)
{
    double const cached = m_cache.use(request.model, request.prompt);
    double const uncached_share = 1.0 - cached * (1.0 - cached_prefill_share);
    std::chrono::duration<double, std::micro> const first =
        m_settings.first_token_delay * m_faults.slow_factor * uncached_share;
    generation::timing result;
    result.first_token =
        std::chrono::duration_cast<std::chrono::microseconds>(first);
    if (m_settings.tokens_per_second > 0.0) {
        result.between_tokens = std::chrono::microseconds(
            static_cast<std::int64_t>(us_per_second * m_faults.slow_factor
                                      / m_settings.tokens_per_second));
    }
    result.burst = m_settings.burst_events;
    return result;
}

bool engine::before_token(generation& answer)
{
    std::uint32_t const computed = answer.computed();
    std::string const& text = m_faults.crash_on_text;
    bool const has_crash_text =
        !text.empty()
        && answer.request().prompt.find(text) != std::string::npos;
    bool const reaches_crash_count =
        m_faults.crash_after_tokens && computed >= *m_faults.crash_after_tokens;
    if (has_crash_text || reaches_crash_count) {
        m_faults.crash_after_tokens.reset();
        crash();
        return false;
    }
    if (m_faults.stall_after_tokens
        && computed >= *m_faults.stall_after_tokens) {
        ++m_counters.stalled;
        answer.stall();
        return false;
    }
    ++m_counters.tokens;
    return true;
}

void engine::remove(generation& answer)
{
    for (generation_list* const list : {&m_running, &m_waiting}) {
        auto const position =
            std::find_if(list->begin(), list->end(), [&](auto const& item) {
                return item.get() == &answer;
            });
        if (position != list->end()) {
            m_ended.splice(m_ended.end(), *list, position);
            break;
        }
    }
    m_cleanup_timer.start(std::chrono::microseconds(0));
    start_next();
    record_load();
}

void engine::cancel(generation& answer)
{
    ++m_counters.cancelled;
    m_counters.wasted_tokens += answer.computed();
    answer.stall();
    remove(answer);
}

void engine::crash()
{
    ++m_counters.crashes;
    m_available_at =
        std::chrono::steady_clock::now() + m_settings.restart_delay;
    for (generation_list* const list : {&m_running, &m_waiting}) {
        for (auto const& answer : *list) {
            m_counters.wasted_tokens += answer->computed();
            answer->abort();
        }
        m_ended.splice(m_ended.end(), *list);
    }
    m_cleanup_timer.start(std::chrono::microseconds(0));
    m_cache.clear();
    record_load();
}

void engine::stall_running()
{
    for (auto const& answer : m_running) {
        ++m_counters.stalled;
        answer->stall();
    }
}

void engine::record_load()
{
    double const capacity =
        static_cast<double>(std::max<std::size_t>(m_settings.cache_blocks, 1));
    m_load.record({running(),
                   waiting(),
                   static_cast<double>(m_cache.size()) / capacity,
                   std::chrono::steady_clock::now()});
}

} // namespace caperjunction::stand_ins
