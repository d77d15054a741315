#include "proxy/store_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <utility>

namespace caperjunction::proxy {
namespace {

/// Far above a round trip between regions; a slow store is given more by the
/// next tries, see `failed`.
constexpr model::milliseconds read_timeout{700};
constexpr model::milliseconds connect_timeout{400};

/// Between two tries after a failure; doubled up to the longest. The store
/// prices calls, and keys are refused while it is away: short is better.
constexpr model::milliseconds min_retry_delay{50};
constexpr model::milliseconds max_retry_delay{400};
/// The same where other hosts watch for this one. While the store is away no
/// host of a fleet hears anything new, and all look for themselves; each look
/// in vain is paid for, and those that watch will tell of its return.
constexpr model::milliseconds max_idle_retry_delay{2'000};

/// For how long changes are gathered, far below what a change may take to
/// be in force: each change would end a watch of each host otherwise.
constexpr model::milliseconds batch_time{300};

constexpr int ok = 200;
constexpr int gone = 410;

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
    m_loop.cancel(m_retry_timer);
}

void store_reader::start(model::milliseconds wait,
                         std::function<model::time_point()> boot_now)
{
    set_watch_wait(wait);
    m_boot_now = std::move(boot_now);
    read_page("");
}

void store_reader::set_watch_wait(model::milliseconds wait)
{
    m_watch_wait = std::min(wait, m_codec.max_watch_wait);
}

void store_reader::send_request(
    std::string const& target,
    model::milliseconds limit,
    std::function<void(int, std::string const&)> on_answer)
{
    m_sent_at = m_boot_now();
    get_request request;
    request.at = m_at;
    request.target = target;
    request.connect_timeout = connect_timeout;
    // Later tries wait longer: a store that answers slowly is not away.
    auto const extra_time = read_timeout * std::min(m_failures, 3U);
    request.first_byte_timeout = limit + extra_time;
    request.idle_timeout = read_timeout + extra_time;
    m_get.start(request,
                {std::move(on_answer), [this](std::string_view reason) {
                     handle_failure(reason);
                 }});
}

void store_reader::read_page(std::string const& after_key)
{
    if (after_key.empty()) {
        m_keys.clear();
        m_revision = 0;
    }
    send_request(m_codec.range_target(m_prefix, after_key),
                 read_timeout,
                 [this](int status, std::string const& body) {
                     handle_page(status, body);
                 });
}

void store_reader::handle_page(int status, std::string const& body)
{
    if (status != ok) {
        handle_failure(fmt::format("status_{}", status));
        return;
    }
    store_answer page;
    try {
        page = m_codec.read_range(body);
    } catch (std::exception const& unreadable) {
        handle_failure(unreadable.what());
        return;
    }
    bool const is_first = m_keys.empty();
    if (is_first) {
        // Pages are no snapshot: changes since the first one are watched.
        m_revision = page.revision;
    }
    handle_success();
    for (store_item const& item : page.items) {
        m_keys.push_back(item.key);
        m_hooks.on_item(item);
    }
    if (page.has_more && !page.items.empty()) {
        read_page(m_keys.back());
        return;
    }
    m_is_complete = true;
    m_hooks.on_complete(m_keys);
    m_confirmed = m_sent_at;
    m_hooks.on_confirmed(m_confirmed, m_revision);
    wait_or_watch();
}

void store_reader::set_watching(bool on)
{
    m_keeps_watching = on;
    if (on && m_is_idle) {
        wait_or_watch();
    }
}

void store_reader::poll_once()
{
    if (std::exchange(m_is_idle, false)) {
        m_polls_once = true;
        watch();
    }
}

void store_reader::skip_to(std::uint64_t revision)
{
    if (m_is_idle) {
        m_revision = std::max(m_revision, revision);
    }
}

void store_reader::wait_or_watch()
{
    m_polls_once = false;
    m_is_idle = !m_keeps_watching;
    if (!m_is_idle) {
        watch();
    }
}

// An answer with changes confirms only what was so when the call left here:
// the next call waits for less, so that beliefs are confirmed as often while
// much changes as when nothing does.
model::milliseconds store_reader::next_wait() const
{
    auto const age = std::chrono::duration_cast<model::milliseconds>(
        m_boot_now() - m_confirmed);
    return std::clamp(m_watch_wait - age, m_watch_wait / 8, m_watch_wait);
}

void store_reader::watch()
{
    // After a failure the store is asked at once: a long wait would leave
    // open whether it is back.
    bool const at_once = m_failures > 0 || m_polls_once;
    auto const wait = at_once ? model::milliseconds{1} : next_wait();
    m_requested_wait = wait;
    send_request(m_codec.watch_target(m_prefix, m_revision, wait),
                 wait + read_timeout,
                 [this](int status, std::string const& body) {
                     handle_changes(status, body);
                 });
}

void store_reader::handle_changes(int status, std::string const& body)
{
    if (status == gone) {
        m_is_complete = false;
        read_page("");
        return;
    }
    if (status != ok) {
        handle_failure(fmt::format("status_{}", status));
        return;
    }
    store_answer changes;
    try {
        changes = m_codec.read_watch(body);
    } catch (std::exception const& unreadable) {
        handle_failure(unreadable.what());
        return;
    }
    handle_success();
    for (store_item const& item : changes.items) {
        m_hooks.on_item(item);
    }
    m_revision = std::max(m_revision, changes.revision);
    // The store has looked no earlier than the call left here; if it let the
    // call wait in vain, no earlier than the end of that wait.
    bool const waited =
        changes.items.empty() && m_boot_now() - m_sent_at >= m_requested_wait;
    m_confirmed =
        m_sent_at + (waited ? m_requested_wait : model::milliseconds{0});
    m_hooks.on_confirmed(m_confirmed, m_revision);
    if (changes.items.empty()) {
        wait_or_watch();
        return;
    }
    // Changes come in bunches: the next call brings all of one.
    m_loop.cancel(m_retry_timer);
    m_retry_timer = m_loop.after(batch_time, [this] {
        wait_or_watch();
    });
}

void store_reader::handle_success()
{
    m_failures = 0;
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
    auto const delay =
        std::min(min_retry_delay * (1U << std::min(m_failures, 8U)),
                 has_other_watchers ? max_idle_retry_delay : max_retry_delay);
    ++m_failures;
    m_loop.cancel(m_retry_timer);
    m_retry_timer = m_loop.after(delay, [this] {
        if (m_is_complete) {
            watch();
        } else {
            // Begun anew at each refusal, a large store's pages would never
            // all be read while many hosts read at once.
            read_page(m_keys.empty() ? "" : m_keys.back());
        }
    });
}

} // namespace caperjunction::proxy
