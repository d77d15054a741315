#include "proxy/part_exchange.hpp"

#include "proxy/crash_checks.hpp"
#include "proxy/part_crashes.hpp"

#include "routing/origin_peer.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::proxy {
namespace {

/// Delay in which the connections of one crash break.
constexpr model::milliseconds batch_delay{5};
/// Hosts that know of an answer wait up to this time for another one to say so.
constexpr int max_reply_delay_ms = 40;
constexpr model::milliseconds reply_timeout{1'000};
constexpr std::size_t max_heard = 1'024;
/// Interval in which verdicts and crashes are sent to some hosts.
constexpr model::milliseconds round_interval{1'000};
/// Time in which rounds have crashes, after the last one or after a host has
/// come back.
constexpr model::milliseconds repeat_time{30'000};
constexpr std::size_t max_own_crashes = 8;
/// Candidates of crashes that a host is told of when it asks.
constexpr std::size_t max_candidates_for_one = 256;
/// Upstreams that a host connects to for one message of another host.
constexpr std::size_t max_checks_for_one = 16;

template <typename Item>
void append(std::vector<Item>& to, std::vector<Item> const& more)
{
    to.insert(to.end(), more.begin(), more.end());
}

} // namespace

part_exchange::part_exchange(relay_context& context, sender send)
    : m_context(context)
    , m_send(std::move(send))
{
    context.tell_parts = [this](part_message const& news) {
        tell(news);
    };
}

part_exchange::~part_exchange()
{
    m_context.tell_parts = nullptr;
    m_context.loop.cancel(m_batch_timer);
    for (auto const& [number, timer] : m_replies) {
        m_context.loop.cancel(timer);
    }
}

void part_exchange::tell(part_message const& news)
{
    if (news.is_empty()) {
        return;
    }
    if (m_untold.is_empty()) {
        m_batch_timer = m_context.loop.after(batch_delay, [this] {
            send_batch();
        });
    }
    append(m_untold.crashes, news.crashes);
    for (routing::upstream_crash const& crash : news.crashes) {
        forget_own_crash(crash.start);
        m_own_crashes.push_back(crash);
        m_repeats_until = std::max(m_repeats_until, crash.at + repeat_time);
    }
    while (m_own_crashes.size() > max_own_crashes) {
        m_own_crashes.pop_front();
    }
    append(m_untold.answers, news.answers);
    append(m_untold.trials, news.trials);
    append(m_untold.verdicts, news.verdicts);
    append(m_untold.checks, news.checks);
    append(m_untold.refuted, news.refuted);
    for (routing::crash_refutation const& item : news.refuted) {
        forget_own_crash(item.start);
    }
}

void part_exchange::forget_own_crash(std::uint64_t start)
{
    std::erase_if(m_own_crashes, [start](auto const& item) {
        return item.start == start;
    });
}

void part_exchange::send_batch()
{
    part_message news = std::exchange(m_untold, {});
    part_message question;
    question.checks = std::exchange(news.checks, {});
    if (!question.is_empty()) {
        send_to_some(question);
    }
    if (!news.is_empty()) {
        std::string const bytes =
            encode_part_message(news, m_context.loop.now());
        for (auto const& peer : m_context.peers.origin_peers()) {
            m_send(peer.at, bytes);
        }
    }
}

void part_exchange::send_to_some(part_message const& message)
{
    std::string const bytes =
        encode_part_message(message, m_context.loop.now());
    for (routing::origin_peer const& peer : routing::choose_origin_holders(
             m_context.peers.origin_peers(), m_random())) {
        m_send(peer.at, bytes);
    }
}

part_message part_exchange::summary() const
{
    part_message message;
    message.verdicts = m_context.parts.verdicts();
    if (m_context.loop.now() < m_repeats_until) {
        message.crashes.assign(m_own_crashes.begin(), m_own_crashes.end());
    }
    return message;
}

void part_exchange::receive(std::string_view bytes, model::endpoint const& from)
{
    auto message = decode_part_message(bytes, m_context.loop.now());
    if (!message) {
        return;
    }
    record(*message);
    if (message->asks) {
        part_message known = summary();
        known.crashes =
            m_context.parts.unanswered_crashes(max_candidates_for_one);
        m_send(from, encode_part_message(known, m_context.loop.now()));
    }
    for (std::size_t at = 0;
         at < std::min(message->checks.size(), max_checks_for_one);
         ++at) {
        check(message->checks[at], from);
    }
    for (std::uint64_t const start : message->live) {
        record_live(m_context, start);
    }
    forward(std::move(*message), from);
}

void part_exchange::check(std::uint64_t start, model::endpoint const& asker)
{
    std::weak_ptr<bool> const lifetime = m_lifetime;
    check_for_other(m_context, start, [this, lifetime, start, asker] {
        if (lifetime.expired()) {
            return;
        }
        part_message reply;
        reply.live = {start};
        m_send(asker, encode_part_message(reply, m_context.loop.now()));
    });
}

void part_exchange::record(part_message const& message)
{
    routing::poison_parts& parts = m_context.parts;
    auto const now = m_context.loop.now();
    if (m_heard.size() >= max_heard) {
        m_heard.clear();
    }
    for (routing::part_answer const& answer : message.answers) {
        m_heard[answer.part] = now;
        parts.record_answer(answer);
    }
    for (part_trial const& trial : message.trials) {
        if (trial.is_over) {
            parts.end_trial({trial.part});
        } else {
            parts.begin_trial({trial.part}, trial.upstream, now, trial.claim);
        }
    }
    for (routing::upstream_crash const& crash : message.crashes) {
        if (parts.record_crash(crash)) {
            answer_later(parts.answers_for(crash));
            record_unanswered_at(m_context, crash);
        }
    }
    for (routing::crash_refutation const& refutation : message.refuted) {
        parts.refute(refutation);
        forget_own_crash(refutation.start);
    }
    part_message corrections;
    for (routing::part_verdict const& verdict : message.verdicts) {
        append(corrections.answers, parts.merge(verdict));
    }
    tell(corrections);
}

void part_exchange::answer_later(std::vector<routing::part_answer> answers)
{
    if (answers.empty()) {
        return;
    }
    std::uint64_t const number = ++m_last_reply;
    model::milliseconds const delay(m_random() % max_reply_delay_ms);
    m_replies[number] = m_context.loop.after(
        delay, [this, number, known = std::move(answers)]() mutable {
            auto const now = m_context.loop.now();
            std::erase_if(known, [&](routing::part_answer const& item) {
                auto const heard = m_heard.find(item.part);
                return heard != m_heard.end()
                       && now - heard->second < reply_timeout;
            });
            part_message reply;
            reply.answers = std::move(known);
            m_replies.erase(number);
            tell(reply);
        });
}

// In a large fleet only gateways hear from other data centres.
void part_exchange::forward(part_message message, model::endpoint const& from)
{
    bool const is_gateway_of_many =
        m_context.peers.is_gateway()
        && m_context.peers.alive()
               >= routing::peer_table::min_peers_of_large_fleet;
    bool const is_for_one =
        message.asks || !message.checks.empty() || !message.live.empty();
    if (message.goes_no_further || is_for_one || !is_gateway_of_many) {
        return;
    }
    auto const peers = m_context.peers.origin_peers();
    auto const source =
        std::find_if(peers.begin(), peers.end(), [&from](auto const& peer) {
            return peer.at == from;
        });
    if (source == peers.end() || source->is_in_data_centre) {
        return;
    }
    message.goes_no_further = true;
    std::string const bytes =
        encode_part_message(message, m_context.loop.now());
    for (routing::origin_peer const& peer : peers) {
        if (peer.is_in_data_centre) {
            m_send(peer.at, bytes);
        }
    }
}

void part_exchange::sweep()
{
    auto const now = m_context.loop.now();
    m_context.parts.expire(now);
    record_ended_upstreams(m_context);
    bool const has_peers = m_context.peers.alive() > 0;
    if (has_peers && !m_has_asked) {
        part_message question;
        question.asks = true;
        send_to_some(question);
    }
    m_has_asked = has_peers;
    if (m_context.peers.alive() > m_alive) {
        m_repeats_until = now + repeat_time;
    }
    m_alive = m_context.peers.alive();
    while (!m_own_crashes.empty()
           && now - m_own_crashes.front().at
                  > routing::poison_limits{}.retention) {
        m_own_crashes.pop_front();
    }
    part_message round = summary();
    // Each host has rounds of its own.
    round.goes_no_further = true;
    if (now - m_round_at >= round_interval && !round.is_empty()) {
        m_round_at = now;
        send_to_some(round);
    }
}

} // namespace caperjunction::proxy
