#include "proxy/origin_exchange.hpp"

#include "proxy/stream_software.hpp"
#include "routing/origin_peer.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::proxy {
namespace {

/// Delay in which streams are collected into one message.
constexpr model::milliseconds min_batch_delay{5};
/// In large data centres, where each host hears of more streams, a batch waits
/// for this part of the period of digests.
constexpr int batches_per_digest = 20;
/// Streams in one datagram: about a kilobyte.
constexpr std::size_t max_batch = 40;

/// A lost datagram is sent again after this time.
constexpr model::milliseconds repeat_delay{60};
/// Then hosts that haven't answered are taken for dead.
constexpr model::milliseconds last_answer_delay{140};

} // namespace

origin_exchange::origin_exchange(relay_context& context, sender send)
    : m_context(context)
    , m_send(std::move(send))
{
    context.tell_origin = [this](routing::stream_origin const& begun) {
        tell(begun);
    };
    context.ask_origin = [this](origin_question const& asked,
                                routing::origin_claims const& known,
                                callback on_found) {
        ask(asked, known, std::move(on_found));
    };
}

origin_exchange::~origin_exchange()
{
    m_context.tell_origin = nullptr;
    m_context.ask_origin = nullptr;
    m_context.loop.cancel(m_batch_timer);
    for (auto const& [number, question] : m_questions) {
        m_context.loop.cancel(question.timer);
    }
}

void origin_exchange::tell(routing::stream_origin const& begun)
{
    if (m_untold.empty()) {
        auto const delay =
            std::max(min_batch_delay,
                     m_context.peers.digest_period() / batches_per_digest);
        m_batch_timer = m_context.loop.after(delay, [this] {
            send_batch();
        });
    }
    m_untold.push_back(begun);
}

void origin_exchange::send_batch()
{
    auto const holders = routing::choose_origin_holders(
        m_context.peers.origin_peers(), m_random());
    auto const all = std::exchange(m_untold, {});
    for (std::size_t begin = 0; begin < all.size(); begin += max_batch) {
        std::size_t const end = std::min(all.size(), begin + max_batch);
        origin_message message;
        message.begun.assign(all.begin() + static_cast<std::ptrdiff_t>(begin),
                             all.begin() + static_cast<std::ptrdiff_t>(end));
        std::string const bytes = encode_origin_message(message);
        for (routing::origin_peer const& holder : holders) {
            m_send(holder.at, bytes);
        }
    }
}

void origin_exchange::hand_over()
{
    for (auto const& begun : m_context.origins.all()) {
        tell(begun);
    }
}

void origin_exchange::ask(origin_question const& asked,
                          routing::origin_claims const& known,
                          callback on_found)
{
    open_question question{asked, known, std::move(on_found), {}, {}};
    for (routing::origin_peer const& peer : m_context.peers.origin_peers()) {
        question.unanswered.push_back(peer.at);
    }
    std::uint64_t const number = ++m_last_question;
    bool const has_peers = !question.unanswered.empty();
    send_question(number, question);
    question.timer = m_context.loop.after(repeat_delay, [this, number] {
        repeat_question(number);
    });
    m_questions.emplace(number, std::move(question));
    if (!has_peers) {
        end_question(number, known.result());
    }
}

void origin_exchange::send_question(std::uint64_t number,
                                    open_question const& question)
{
    origin_message message;
    message.question = number;
    message.asked = question.asked;
    std::string const bytes = encode_origin_message(message);
    for (model::endpoint const& to : question.unanswered) {
        m_send(to, bytes);
    }
}

void origin_exchange::repeat_question(std::uint64_t number)
{
    open_question& question = m_questions.at(number);
    send_question(number, question);
    question.timer = m_context.loop.after(last_answer_delay, [this, number] {
        end_question(number, m_questions.at(number).claims.result());
    });
}

void origin_exchange::receive(std::string_view bytes,
                              model::endpoint const& from)
{
    auto const message = decode_origin_message(bytes);
    if (!message) {
        return;
    }
    for (routing::stream_origin const& begun : message->begun) {
        m_context.origins.record(begun, m_context.loop.now());
    }
    if (message->question != 0) {
        origin_message reply;
        reply.answer = message->question;
        reply.claim = own_claim(m_context, message->asked);
        m_send(from, encode_origin_message(reply));
    }
    if (message->answer != 0) {
        add_answer(*message, from);
    }
}

void origin_exchange::add_answer(origin_message const& answer,
                                 model::endpoint const& from)
{
    auto const found = m_questions.find(answer.answer);
    if (found == m_questions.end()) {
        return;
    }
    open_question& question = found->second;
    auto const asked =
        std::find(question.unanswered.begin(), question.unanswered.end(), from);
    if (asked == question.unanswered.end()) {
        return;
    }
    question.unanswered.erase(asked);
    question.claims.add(answer.claim);
    if (question.claims.recorded() || question.unanswered.empty()) {
        end_question(answer.answer, question.claims.result());
    }
}

void origin_exchange::end_question(std::uint64_t number,
                                   std::optional<routing::software> found)
{
    auto const question = m_questions.extract(number);
    m_context.loop.cancel(question.mapped().timer);
    question.mapped().on_found(found);
}

} // namespace caperjunction::proxy
