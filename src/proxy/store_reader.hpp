#ifndef CAPERJUNCTION_PROXY_STORE_READER_HPP
#define CAPERJUNCTION_PROXY_STORE_READER_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "proxy/http_get.hpp"
#include "proxy/store_codec.hpp"
#include "runtime/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::proxy {

/// How a request to the store failed.
struct store_failure
{
    std::string_view reason;
    /// Kind of request: range or watch.
    std::string_view call;
    /// Progress of the answer.
    get_progress progress;
};

/// Revisions of the store whose changes an answer doesn't contain.
struct revision_gap
{
    /// Revision that the watch continued from.
    std::uint64_t after = 0;
    /// Revision that the answer ends at.
    std::uint64_t revision = 0;
    std::size_t missing = 0;
};

/// A complete read of the prefix, in pages that are not a snapshot.
struct store_list
{
    /// All keys that exist. Changes after `at` may be missing.
    std::vector<std::string> keys;
    routing::store_position at;
    std::size_t pages = 0;
    /// Time since the first page was requested.
    model::milliseconds first_page_age{0};
    /// Time since the moment as of which the whole list is confirmed.
    model::milliseconds confirmed_age{0};
};

/// An answer of the store that doesn't name its era as it should.
struct era_fault
{
    /// `missing`, `unreadable` or `older`.
    std::string_view reason;
    /// Empty if it is missing.
    std::string value;
    /// Era that the reader knows.
    std::uint64_t known = 0;
};

/// Callbacks of a reader.
struct store_hooks
{
    std::function<void(store_item const&)> on_item;
    /// The complete prefix has been read again.
    std::function<void(store_list const&)> on_complete;
    /// All changes up to `at` have been received, and the store had no others
    /// as of `as_of` (clock that includes suspended time).
    std::function<void(model::time_point as_of, routing::store_position at)>
        on_confirmed;
    std::function<void(store_failure const&)> on_lost;
    std::function<void()> on_regained;
    /// A watch was answered with fewer changes than revisions; the store is
    /// read again.
    std::function<void(revision_gap const&)> on_gap;
    /// The store names its era for the first time, or has come back from a
    /// copy. Called before any item of that era.
    std::function<void(std::uint64_t era)> on_era;
    /// Called for the first of several such answers in a row.
    std::function<void(era_fault const&)> on_era_fault;
};

/// Replicates one prefix of the platform's store: reads it completely, then
/// watches it.
///
/// The store may be unresponsive, slow, refuse only this host, discard the
/// history that a watch needs, or come back from an older copy. Each request
/// has its own timeout, failures are retried with exponential back-off, and a
/// discarded history or another era triggers a complete read. A reader whose
/// peers watch the store waits for them first: a store that every host of a
/// fleet reads at once is overloaded.
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

    /// Starts reading. `wait` is the time for which a watch waits for a change,
    /// and thereby the interval at which the replicated state is confirmed.
    void start(model::milliseconds wait,
               std::function<model::time_point()> lease_now);

    /// Sets the time for which a watch waits, starting with the next watch.
    void set_watch_wait(model::milliseconds wait);

    /// Sets whether another watch follows the current one. An idle reader keeps
    /// its state. The first complete read is made in any case.
    void set_watching(bool on);

    /// Polls the store once for changes, if the reader is idle.
    void poll_once();

    /// Tells the reader that all changes up to `at` were received from peers.
    /// If idle, the reader continues from there. Polled from its own older
    /// revision, the store would return the entry of an upstream that peers
    /// have already reported as removed, and return the removal only with the
    /// next poll.
    void skip_to(routing::store_position at);

    /// Tells the reader of the newest era that this host knows from peers. If
    /// the store names none, a reader infers one from revisions that have gone
    /// back; one that has not seen that reads the store again, in that era.
    void adopt_era(std::uint64_t era);

private:
    static constexpr int status_ok = 200;
    static constexpr int status_gone = 410;
    /// Far above a round trip between regions. A slow store is given more time
    /// by later attempts, see `send_request`.
    static constexpr model::milliseconds read_timeout{700};
    /// Time for which changes are collected, far below the time within which a
    /// change must be in force. Without it, each change ends a watch.
    static constexpr model::milliseconds batch_time{300};
    /// Wait of a watch that is to be answered at once.
    static constexpr model::milliseconds immediate_answer{1};

    void idle_or_watch();
    bool enter_era();
    bool has_gone_back(std::uint64_t revision) const;
    void fault_era(std::string_view reason, std::string const& value);
    void read_again();
    void start_reading();
    void read_page(std::string const& after_key);
    void complete_list(model::time_point as_of);
    model::milliseconds age_of(model::time_point moment) const;
    model::milliseconds next_wait() const;
    bool has_waited() const;
    void watch();
    void send_request(std::string const& target,
                      model::milliseconds first_byte_timeout,
                      std::function<void(int, std::string const&)> on_answer);
    void handle_page(int status, std::string const& body);
    void continue_list();
    void handle_changes_in_list(int status, std::string const& body);
    void apply_to_list(store_answer& changes);
    std::optional<store_answer> parse_changes(int status,
                                              std::string const& body);
    void handle_changes(int status, std::string const& body);
    std::size_t count_missing(store_answer const& changes) const;
    void handle_gap(store_answer const& changes, std::size_t missing);
    void continue_after(model::milliseconds delay);
    void handle_failure(std::string_view reason);
    void handle_success();

    runtime::event_loop& m_loop;
    model::endpoint m_at;
    store_codec const& m_codec;
    std::string m_prefix;
    store_hooks m_hooks;
    model::milliseconds m_watch_wait{0};
    /// Wait that the current watch requested.
    model::milliseconds m_requested_wait{0};
    std::function<model::time_point()> m_lease_now;

    http_get m_get;
    runtime::timer_handle m_delay_timer;
    /// When the current request was sent, on the clock of leases and on that of
    /// the loop.
    model::time_point m_sent_at{};
    model::time_point m_sent_on_loop{};
    model::time_point m_confirmed{};
    /// The changes up to here have been received.
    routing::store_position m_position;
    bool m_names_era = false;
    bool m_has_era_fault = false;
    /// The reader has lost the history after `m_position` and waits for its
    /// peers.
    bool m_awaits_peers = false;
    std::minstd_rand m_random{std::random_device{}()};
    model::time_point m_next_gap_read{};
    bool m_is_complete = false;
    bool m_keeps_watching = true;
    bool m_is_idle = false;
    bool m_polls_once = false;
    /// The list that is being read: its keys so far, the last of its last page,
    /// and as of when what has been read of it is known to be complete.
    std::set<std::string> m_keys;
    std::string m_last_key;
    model::time_point m_list_as_of{};
    std::size_t m_pages = 0;
    /// When its first page was requested.
    model::time_point m_first_page_at{};
    /// Changes since `m_list_as_of` can't be had from the store.
    bool m_has_lost_changes = false;
    std::uint32_t m_failures = 0;
    /// Failures since an answer came within the time that a first attempt has.
    std::uint32_t m_slow_answers = 0;
    /// That time, for the current request.
    model::milliseconds m_first_byte_timeout{0};
    bool m_is_lost = false;
};

} // namespace caperjunction::proxy

#endif
