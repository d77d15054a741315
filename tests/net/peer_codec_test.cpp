#include "net/peer_codec.hpp"

#include "model/error.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>

using namespace caperjunction;
using net::peer_frame;

namespace {

peer_frame decode_framed(std::string const& bytes)
{
    std::vector<std::uint8_t> const frame(
        bytes.begin() + net::frame_prefix_bytes, bytes.end());
    return net::decode(frame.data(), frame.size());
}

fleet::claim_attempt const attempt{"otaru-1", 7, 3};
fleet::claim_key const key{11, 12};

/// One frame of each kind, with no field at its default value.
std::vector<peer_frame> one_of_each()
{
    using namespace fleet;
    config_announce const announce{{{1, 2, 3, 4}}, {{5, 6, 7, 8}}};
    membership_update const update{"otaru-1", 9, 2, update_kind::leaving};
    auto const body = std::make_shared<std::string const>("{}");
    std::vector<header_field> const fields{{"host", "a"}, {"x", ""}};
    claim_reply reply{key, attempt, claim_status::held, true, 45, 5};
    reply.refusal = claim_refusal::full;
    reply.list_revision = 3;
    reply.holder = attempt;
    reply.holder_state = claim_state::done;
    reply.holder_fingerprint = 99;
    claim_record const record{
        key, attempt, 4, claim_state::done, model::milliseconds(70)};
    return {
        net::peer_challenge{{1, 2}},
        net::peer_hello{"otaru-1", {3}, {4, 5}},
        net::peer_welcome{{6}},
        net::peer_ping{7},
        net::peer_pong{8},
        peer_message(heartbeat{9, true, true, 10, announce}),
        peer_message(membership_updates{{update, update}}),
        peer_message(probe{11}),
        peer_message(probe_reply{12, 13, true, announce, {update}}),
        peer_message(announce),
        peer_message(config_fetch{published_value::hosts, 14, 15}),
        peer_message(
            config_value{published_value::upstreams, 16, 17, 0, body, {}}),
        peer_message(config_value{published_value::plans,
                                  18,
                                  19,
                                  20,
                                  nullptr,
                                  {{18, 21, 22, "text"}}}),
        peer_message(load_digest{"otaru-1", 23, 1, {24, 25}}),
        peer_message(hand_over_request{
            {26}, "POST", "/v1", fields, "body", model::milliseconds(27)}),
        peer_message(hand_over_chunk{{28}, 200, fields, "bytes"}),
        peer_message(hand_over_end{
            {29}, hand_over_result::broken, model::outcome::unknown, "why"}),
        peer_message(hand_over_cancel{{30}}),
        peer_message(claim_message(claim_request{key, attempt, 31, 32})),
        peer_message(claim_message(reply)),
        peer_message(claim_message(claim_release{key, attempt})),
        peer_message(claim_message(claim_done{key, attempt})),
        peer_message(claim_message(claim_query{key, attempt})),
        peer_message(claim_message(claim_offer{33, 34})),
        peer_message(claim_message(claim_accept{35, 36, 37})),
        peer_message(claim_message(
            claim_transfer{38, 39, 40, {{41, 42, 46}}, {record, record}})),
        peer_message(claim_message(claim_transfer_ack{43, 44})),
        peer_message(claim_message(answer_query{key, attempt, 45})),
        peer_message(claim_message(
            answer_reply{key, 46, true, 200, "text/plain", "answer"})),
        peer_message(order_request{"engine-1", "drafter"}),
    };
}

} // namespace

TEST_CASE("every message survives encoding and decoding")
{
    for (peer_frame const& frame : one_of_each()) {
        std::string const bytes = net::encode(frame);
        peer_frame const read = decode_framed(bytes);
        CHECK(read.index() == frame.index());
        CHECK(net::encode(read) == bytes);
    }
}

TEST_CASE("decoded heartbeats and config values equal the originals")
{
    auto const frames = one_of_each();
    auto const beat = decode_framed(net::encode(frames[5]));
    auto const& message = std::get<fleet::peer_message>(beat);
    CHECK(std::get<fleet::heartbeat>(message)
          == std::get<fleet::heartbeat>(
              std::get<fleet::peer_message>(frames[5])));
    auto const value = decode_framed(net::encode(frames[12]));
    auto const& read =
        std::get<fleet::config_value>(std::get<fleet::peer_message>(value));
    CHECK(read.body == nullptr);
    CHECK(read.base == 20);
    REQUIRE(read.deltas.size() == 1);
    CHECK(read.deltas[0] == fleet::delta{18, 21, 22, "text"});
}

// Guards against a field of a vote that is missing from the frame. Encoding and
// decoding again doesn't show it, because both directions omit the field; but
// no vote counts, and every booking of the fleet is refused.
TEST_CASE("claim replies and votes keep every field")
{
    fleet::claim_reply sent{key, attempt, fleet::claim_status::granted};
    sent.vote = true;
    sent.vote_origin = 77;
    sent.voters = 5;
    auto const reply = decode_framed(
        net::encode(fleet::peer_message(fleet::claim_message(sent))));
    auto const& read = std::get<fleet::claim_reply>(
        std::get<fleet::claim_message>(std::get<fleet::peer_message>(reply)));
    // The structured binding fails to compile when a field is added.
    auto const& [read_key,
                 read_attempt,
                 status,
                 vote,
                 origin,
                 voters,
                 refusal,
                 revision,
                 holder,
                 state,
                 fingerprint] = read;
    CHECK(read_key == key);
    CHECK(read_attempt == attempt);
    CHECK(status == fleet::claim_status::granted);
    CHECK(vote);
    CHECK(origin == 77);
    CHECK(voters == 5);
    CHECK(refusal == fleet::claim_refusal::none);
    CHECK(revision == 0);
    CHECK(holder == fleet::claim_attempt{});
    CHECK(state == fleet::claim_state::running);
    CHECK(fingerprint == 0);

    fleet::claim_transfer sent_transfer;
    sent_transfer.votes = {{1, 2, 3}};
    auto const transfer = decode_framed(
        net::encode(fleet::peer_message(fleet::claim_message(sent_transfer))));
    auto const& read_transfer =
        std::get<fleet::claim_transfer>(std::get<fleet::claim_message>(
            std::get<fleet::peer_message>(transfer)));
    REQUIRE(read_transfer.votes.size() == 1);
    auto const& [bucket, count, vote_origin] = read_transfer.votes[0];
    CHECK(bucket == 1);
    CHECK(count == 2);
    CHECK(vote_origin == 3);
}

TEST_CASE("equal latest and in-force revisions are encoded once")
{
    fleet::heartbeat beat;
    beat.generation = 1;
    beat.configuration = {{{1, 2, 3, 4}}, {{1, 2, 3, 4}}};
    auto const bytes = net::encode(fleet::peer_message(beat));
    auto const read = decode_framed(bytes);
    CHECK(std::get<fleet::heartbeat>(std::get<fleet::peer_message>(read))
          == beat);
    beat.configuration.in_force.of[0] = 0;
    CHECK(bytes.size() < net::encode(fleet::peer_message(beat)).size());
}

TEST_CASE("a corrupt frame only raises a bad_request error")
{
    // A peer of another version, or any process that reaches the port, may
    // send invalid bytes. Without validation, a length in them points outside
    // of the buffer and crashes the process with all its requests.
    auto const frames = one_of_each();
    CHECK(rc::check("corrupt frames are never read out of bounds", [&] {
        auto const index = *rc::gen::inRange<std::size_t>(0, frames.size());
        std::string bytes = net::encode(frames[index]);
        auto const damages = *rc::gen::inRange(1, 6);
        for (int each = 0; each < damages; ++each) {
            auto const at = *rc::gen::inRange<std::size_t>(
                net::frame_prefix_bytes, bytes.size());
            bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        }
        auto const keep = *rc::gen::inRange<std::size_t>(
            net::frame_prefix_bytes, bytes.size() + 1);
        bytes.resize(keep);
        try {
            decode_framed(bytes);
        } catch (model::error const& error) {
            RC_ASSERT(error.kind() == model::error_kind::bad_request);
            RC_ASSERT(!error.remedy().empty());
        }
    }));
}

TEST_CASE("an out-of-range enumerator is rejected")
{
    // A later version may define a fifth published value. Used as an index,
    // its number reads past the end of an array.
    fleet::config_fetch fetch;
    fetch.value = static_cast<fleet::published_value>(4);
    fetch.wanted = 1;
    auto const bytes = net::encode(fleet::peer_message(fetch));
    CHECK_THROWS_AS(decode_framed(bytes), model::error);
}
