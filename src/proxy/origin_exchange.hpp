#ifndef CAPERJUNCTION_PROXY_ORIGIN_EXCHANGE_HPP
#define CAPERJUNCTION_PROXY_ORIGIN_EXCHANGE_HPP

#include "proxy/origin_codec.hpp"
#include "proxy/relay_context.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::proxy {

/// Tells other hosts which software began the streams of this one, and asks
/// them for streams that its callers take up.
///
/// Each stream is told to a few hosts, and all hosts in reach are asked. The
/// first one may be dead when its stream is taken up, so that it can't be asked
/// alone; and streams are begun far more often than taken up.
///
/// Thread safety: none; owned by the loop's task.
class origin_exchange
{
public:
    using sender =
        std::function<void(model::endpoint const& to, std::string const&)>;

    /// Sets the hooks of `context` that tell and ask, until its own end.
    origin_exchange(relay_context& context, sender send);
    ~origin_exchange();
    origin_exchange(origin_exchange const&) = delete;
    origin_exchange& operator=(origin_exchange const&) = delete;

    /// \pre is_origin_message(bytes).
    void receive(std::string_view bytes, model::endpoint const& from);

    /// Tells others all that this host knows; called when it is about to stop.
    void hand_over();

private:
    using callback = std::function<void(std::optional<routing::software>)>;

    struct open_question
    {
        origin_question asked;
        routing::origin_claims claims;
        callback on_found;
        std::vector<model::endpoint> unanswered;
        runtime::timer_handle timer;
    };

    void tell(routing::stream_origin const& begun);
    void send_batch();
    void ask(origin_question const& asked,
             routing::origin_claims const& known,
             callback on_found);
    void send_question(std::uint64_t number, open_question const& question);
    void repeat_question(std::uint64_t number);
    void add_answer(origin_message const& answer, model::endpoint const& from);
    void end_question(std::uint64_t number,
                      std::optional<routing::software> found);

    relay_context& m_context;
    sender m_send;
    std::vector<routing::stream_origin> m_untold;
    runtime::timer_handle m_batch_timer;
    std::uint64_t m_last_question = 0;
    std::map<std::uint64_t, open_question> m_questions;
    std::minstd_rand m_random{std::random_device{}()};
};

} // namespace caperjunction::proxy

#endif
