#include "proxy/store_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <utility>

namespace caperjunction::proxy {
namespace {

constexpr model::milliseconds connect_timeout{400};

/// Delay between two attempts after a failure, doubled up to the maximum. The
/// store charges for requests, but keys are refused while it is unavailable, so
/// the delay is short.
constexpr model::milliseconds min_retry_delay{50};
constexpr model::milliseconds max_retry_delay{400};
/// The same for a host whose peers watch the store for it. While the store is
/// unavailable, no host of a fleet receives anything new, and all poll it
/// themselves. Each failed poll is charged, and the watching hosts announce
/// when the store is back.
constexpr model::milliseconds min_idle_retry_delay{400};
constexpr model::milliseconds max_idle_retry_delay{4'000};

} // namespace

store_reader::store_reader(runtime::event_loop& loop,
                           model::endpoint at,
                           store_codec const& codec,
                           std::string prefix,
                           store_hooks callbacks)
    : m_loop(loop)
    , m_at(std::move(at))
    , m_codec(codec)
    , m_prefix(std::move(prefix))
    , m_hooks(std::move(callbacks))
    , m_get(loop)
{
}

store_reader::~store_reader()
{
    m_loop.cancel(m_delay_timer);
}

void store_reader::start(model::milliseconds wait,
                         std::function<model::time_point()> lease_now)
{
    set_watch_wait(wait);
    m_lease_now = std::move(lease_now);
    read_page("");
}

void store_reader::set_watch_wait(model::milliseconds wait)
{
    m_watch_wait = std::min(wait, m_codec.max_watch_wait);
}

void store_reader::send_request(
    std::string const& target,
    model::milliseconds first_byte_timeout,
    std::function<void(int, std::string const&)> on_answer)
{
    m_sent_at = m_lease_now();
    m_sent_on_loop = m_loop.now();
    get_request request;
    request.at = m_at;
    request.target = target;
    request.connect_timeout = connect_timeout;
    // Later attempts wait longer, because a store that answers slowly is not
    // unavailable.
    auto const extra_time = read_timeout * std::min(m_slow_answers, 3U);
    m_first_byte_timeout = first_byte_timeout;
    request.first_byte_timeout = first_byte_timeout + extra_time;
    request.idle_timeout = read_timeout + extra_time;
    m_get.start(request,
                {[this, on_answer = std::move(on_answer)](
                     int status, std::string const& body) {
                     if (enter_era()) {
                         on_answer(status, body);
                     }
                 },
                 [this](std::string_view reason) {
                     handle_failure(reason);
                 }});
}

model::milliseconds store_reader::age_of(model::time_point moment) const
{
    return std::chrono::duration_cast<model::milliseconds>(m_lease_now()
                                                           - moment);
}

void store_reader::set_watching(bool on)
{
    m_keeps_watching = on;
    if (!on || !m_is_idle) {
        return;
    }
    if (m_awaits_peers) {
        start_reading();
    } else {
        idle_or_watch();
    }
}

void store_reader::poll_once()
{
    if (!m_awaits_peers && std::exchange(m_is_idle, false)) {
        m_polls_once = true;
        watch();
    }
}

void store_reader::idle_or_watch()
{
    m_polls_once = false;
    m_is_idle = !m_keeps_watching;
    if (!m_is_idle) {
        watch();
    }
}

// An answer with changes confirms only the state at the time of the request.
// The next request waits for less, so that the state is confirmed as often
// during frequent changes as without any.
model::milliseconds store_reader::next_wait() const
{
    return std::clamp(
        m_watch_wait - age_of(m_confirmed), m_watch_wait / 8, m_watch_wait);
}

void store_reader::watch()
{
    // After a failure the store is asked for an immediate answer: a long wait
    // would not show whether it is available again.
    bool const at_once = m_failures > 0 || m_polls_once;
    auto const wait = at_once ? immediate_answer : next_wait();
    m_requested_wait = wait;
    send_request(m_codec.watch_target(m_prefix, m_position.revision, wait),
                 wait + read_timeout,
                 [this](int status, std::string const& body) {
                     handle_changes(status, body);
                 });
}

std::optional<store_answer> store_reader::parse_changes(int status,
                                                        std::string const& body)
{
    if (status != status_ok) {
        handle_failure(fmt::format("status_{}", status));
        return std::nullopt;
    }
    try {
        return m_codec.read_watch(body);
    } catch (std::exception const& unreadable) {
        handle_failure(unreadable.what());
        return std::nullopt;
    }
}

void store_reader::handle_changes(int status, std::string const& body)
{
    if (status == status_gone) {
        handle_success();
        read_again();
        return;
    }
    auto parsed = parse_changes(status, body);
    if (!parsed) {
        return;
    }
    store_answer& changes = *parsed;
    handle_success();
    if (has_gone_back(changes.revision)) {
        read_again();
        return;
    }
    for (store_item& item : changes.items) {
        item.era = m_position.era;
        m_hooks.on_item(item);
    }
    if (auto const missing = count_missing(changes); missing > 0) {
        handle_gap(changes, missing);
        return;
    }
    m_position.revision = std::max(m_position.revision, changes.revision);
    // The store evaluated the request no earlier than it was sent. If the
    // request waited for its whole time without a change, the store evaluated
    // it no earlier than the end of that wait.
    m_confirmed = m_sent_at;
    if (changes.items.empty() && has_waited()) {
        m_confirmed += m_requested_wait;
    }
    m_hooks.on_confirmed(m_confirmed, m_position);
    if (changes.items.empty()) {
        idle_or_watch();
    } else {
        // Changes come in batches: the next request returns the rest of a batch
        // at once.
        continue_after(batch_time);
    }
}

// A clock that was stepped ahead shows a wait that has not passed.
bool store_reader::has_waited() const
{
    return age_of(m_sent_at) >= m_requested_wait
           && m_loop.now() - m_sent_on_loop >= m_requested_wait;
}

void store_reader::continue_after(model::milliseconds delay)
{
    m_loop.cancel(m_delay_timer);
    m_delay_timer = m_loop.after(delay, [this] {
        idle_or_watch();
    });
}

void store_reader::handle_success()
{
    m_failures = 0;
    // A store that is slow throughout would cost a timeout before each answer.
    if (m_loop.now() - m_sent_on_loop < m_first_byte_timeout) {
        m_slow_answers = 0;
    }
    if (std::exchange(m_is_lost, false)) {
        m_hooks.on_regained();
    }
}

void store_reader::handle_failure(std::string_view reason)
{
    m_get.stop();
    if (!std::exchange(m_is_lost, true)) {
        m_hooks.on_lost(
            {reason, m_is_complete ? "watch" : "range", m_get.progress()});
    }
    bool const has_other_watchers = m_is_complete && !m_keeps_watching;
    auto const first =
        has_other_watchers ? min_idle_retry_delay : min_retry_delay;
    auto const delay =
        std::min(first * (1U << std::min(m_failures, 8U)),
                 has_other_watchers ? max_idle_retry_delay : max_retry_delay);
    ++m_failures;
    ++m_slow_answers;
    m_loop.cancel(m_delay_timer);
    m_delay_timer = m_loop.after(delay, [this] {
        if (m_is_complete) {
            watch();
        } else {
            // Continues at the refused page. If the read restarted after each
            // refusal, a large store would never be read completely while many
            // hosts read at once.
            read_page(m_last_key);
        }
    });
}

} // namespace caperjunction::proxy
