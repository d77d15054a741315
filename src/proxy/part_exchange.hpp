#ifndef CAPERJUNCTION_PROXY_PART_EXCHANGE_HPP
#define CAPERJUNCTION_PROXY_PART_EXCHANGE_HPP

#include "proxy/part_codec.hpp"
#include "proxy/relay_context.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace caperjunction::proxy {

/// Tells other hosts what this one has seen of prompt parts at crashes, and
/// takes up what they have seen.
///
/// News go out at once: until the others know of a crash, they send requests
/// that may cause the next one. Rounds repeat the verdicts to some hosts and,
/// for some time after news or after a host has come back, this host's last
/// crashes: some hosts may have been out of touch.
///
/// A host that loses only its own links sees crashes of their upstreams. It
/// asks a few others, one of them in another data centre, to connect to each of
/// these, and withdraws the crashes that they refute.
///
/// Thread safety: none; owned by the loop's task.
class part_exchange
{
public:
    using sender =
        std::function<void(model::endpoint const& to, std::string const&)>;

    /// Sets the hook of `context` that tells, until its own end.
    part_exchange(relay_context& context, sender send);
    ~part_exchange();
    part_exchange(part_exchange const&) = delete;
    part_exchange& operator=(part_exchange const&) = delete;

    /// \pre is_part_message(bytes).
    void receive(std::string_view bytes, model::endpoint const& from);

    /// Forgets what is old, asks other hosts once there are any, and sends the
    /// verdicts to some of them. Must be called several times a second.
    void sweep();

private:
    void tell(part_message const& news);
    void forget_own_crash(std::uint64_t start);
    void send_batch();
    void check(std::uint64_t start, model::endpoint const& asker);
    void send_to_some(part_message const& message);
    void forward(part_message message, model::endpoint const& from);
    void record(part_message const& message);
    void answer_later(std::vector<routing::part_answer> answers);
    part_message summary() const;

    relay_context& m_context;
    sender m_send;
    part_message m_untold;
    std::deque<routing::upstream_crash> m_own_crashes;
    /// Rounds have crashes until this time.
    model::time_point m_repeats_until{};
    std::size_t m_alive = 0;
    runtime::timer_handle m_batch_timer;
    bool m_has_asked = false;
    model::time_point m_round_at{};
    /// When other hosts have told of an answer.
    std::unordered_map<routing::shared_part,
                       model::time_point,
                       routing::shared_part_hash>
        m_heard;
    std::unordered_map<std::uint64_t, runtime::timer_handle> m_replies;
    std::uint64_t m_last_reply = 0;
    std::minstd_rand m_random{std::random_device{}()};
    /// Expires with this object; callbacks of checks may come later.
    std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

} // namespace caperjunction::proxy

#endif
