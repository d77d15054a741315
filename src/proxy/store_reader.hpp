#ifndef CAPERJUNCTION_PROXY_STORE_READER_HPP
#define CAPERJUNCTION_PROXY_STORE_READER_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "proxy/http_get.hpp"
#include "proxy/store_codec.hpp"
#include "runtime/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::proxy {

/// How a call to the store failed.
struct store_failure
{
    std::string_view reason;
    /// range or watch.
    std::string_view call;
    /// How far the answer had come.
    get_progress progress;
};

/// What a reader tells its owner.
struct store_hooks
{
    std::function<void(store_item const&)> on_item;
    /// The whole prefix was read anew; these keys are there.
    std::function<void(std::vector<std::string> const& keys)> on_complete;
    /// The store has told all changes up to `revision`, and had no others as
    /// of `as_of` (the clock that counts suspended time).
    std::function<void(model::time_point as_of, std::uint64_t revision)>
        on_confirmed;
    std::function<void(store_failure const&)> on_lost;
    std::function<void()> on_regained;
};

/// Follows one prefix of the platform's store: reads it whole, then watches.
///
/// The store may be silent, slow, refuse this host alone, or forget the
/// history that a watch would go on from. Each call has a timeout of its own,
/// failures are tried again after a growing wait, and a forgotten history
/// leads to a whole read.
///
/// Thread safety: none; owned by the loop's task.
class store_reader
{
public:
    store_reader(runtime::event_loop& loop,
                 model::endpoint at,
                 store_codec const& codec,
                 std::string prefix,
                 store_hooks callbacks);
    ~store_reader();
    store_reader(store_reader const&) = delete;
    store_reader& operator=(store_reader const&) = delete;

    /// Begins reading. `wait`: how long a watch waits for a change; what is
    /// believed is confirmed that often.
    void start(model::milliseconds wait,
               std::function<model::time_point()> boot_now);

    /// Changes how long a watch waits, from the next one on.
    void set_watch_wait(model::milliseconds wait);

    /// Whether another watch follows the present one. A reader that rests
    /// holds what it has; a first whole read is made in any case.
    void set_watching(bool on);

    /// Asks once whether anything has changed, while it rests.
    void poll_once();

    /// All changes up to `revision` are known from elsewhere. While it rests,
    /// the reader goes on from there: asked for what came before, the store
    /// would tell of an upstream that peers have long said to be gone, and
    /// not yet of its end.
    void skip_to(std::uint64_t revision);

private:
    void wait_or_watch();
    void read_page(std::string const& after_key);
    model::milliseconds next_wait() const;
    void watch();
    void send_request(std::string const& target,
                      model::milliseconds limit,
                      std::function<void(int, std::string const&)> on_answer);
    void handle_page(int status, std::string const& body);
    void handle_changes(int status, std::string const& body);
    void handle_failure(std::string_view reason);
    void handle_success();

    runtime::event_loop& m_loop;
    model::endpoint m_at;
    store_codec const& m_codec;
    std::string m_prefix;
    store_hooks m_hooks;
    model::milliseconds m_watch_wait{0};
    /// What the present watch asked for.
    model::milliseconds m_requested_wait{0};
    std::function<model::time_point()> m_boot_now;

    http_get m_get;
    runtime::timer_handle m_retry_timer;
    model::time_point m_sent_at{};
    model::time_point m_confirmed{};
    std::uint64_t m_revision = 0;
    bool m_is_complete = false;
    bool m_keeps_watching = true;
    bool m_is_idle = false;
    bool m_polls_once = false;
    std::vector<std::string> m_keys;
    std::uint32_t m_failures = 0;
    bool m_is_lost = false;
};

} // namespace caperjunction::proxy

#endif
