#include "proxy/part_codec.hpp"

#include "proxy/wire/parts_generated.h"
#include "proxy/wire_buffer.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace caperjunction::proxy {
namespace {

/// Hosts of earlier versions find no valid digest behind it.
constexpr std::string_view mark = "\xff\xff\xff\xfe";

using flatbuffers::Offset;
using flatbuffers::Vector;

std::uint32_t millis_between(model::time_point from, model::time_point to)
{
    auto const passed =
        std::chrono::duration_cast<model::milliseconds>(to - from).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        passed, 0, std::numeric_limits<std::uint32_t>::max()));
}

model::time_point before(model::time_point at, std::uint32_t millis)
{
    return at - model::milliseconds(millis);
}

bool is_request(routing::part_kind kind)
{
    return kind == routing::part_kind::request;
}

routing::part_kind kind_of(bool is_request)
{
    return is_request ? routing::part_kind::request
                      : routing::part_kind::prompt;
}

Offset<wire::UpstreamCrash> write(flatbuffers::FlatBufferBuilder& builder,
                                  routing::upstream_crash const& from,
                                  model::time_point now)
{
    std::vector<wire::PartCandidate> list;
    list.reserve(from.candidates.size());
    for (routing::crash_candidate const& item : from.candidates) {
        list.emplace_back(item.id,
                          millis_between(item.sent_at, from.at),
                          item.is_trusted,
                          item.has_begun,
                          is_request(item.kind));
    }
    return wire::CreateUpstreamCrash(builder,
                                     from.start,
                                     from.service,
                                     from.version,
                                     millis_between(from.at, now),
                                     builder.CreateVectorOfStructs(list));
}

Offset<wire::PartVerdict> write(flatbuffers::FlatBufferBuilder& builder,
                                routing::part_verdict const& from,
                                model::time_point now)
{
    std::vector<std::uint64_t> ids;
    std::vector<bool> are_requests;
    for (routing::shared_part const& part : from.parts) {
        ids.push_back(part.id);
        are_requests.push_back(is_request(part.kind));
    }
    return wire::CreatePartVerdict(
        builder,
        from.parts.empty() ? 0 : from.parts.front().service,
        builder.CreateVector(ids),
        builder.CreateVector(from.versions),
        millis_between(from.last_crash, now),
        millis_between(from.seen_at, now),
        from.failed_probes,
        from.is_trusted,
        builder.CreateVector(are_requests));
}

template <typename Wire, typename Item>
Offset<Vector<Offset<Wire>>> table_list(flatbuffers::FlatBufferBuilder& builder,
                                        std::vector<Item> const& from,
                                        model::time_point now)
{
    std::vector<Offset<Wire>> list;
    list.reserve(from.size());
    for (Item const& item : from) {
        list.push_back(write(builder, item, now));
    }
    return builder.CreateVector(list);
}

/// Takes no bytes if the list is empty.
Offset<Vector<std::uint64_t>>
number_list(flatbuffers::FlatBufferBuilder& builder,
            std::vector<std::uint64_t> const& from)
{
    return from.empty() ? 0 : builder.CreateVector(from);
}

routing::upstream_crash read(wire::UpstreamCrash const& from,
                             model::time_point now)
{
    routing::upstream_crash crash;
    crash.start = from.start();
    crash.service = from.service();
    crash.version = from.version();
    crash.at = before(now, from.age_ms());
    if (from.candidates() != nullptr) {
        for (wire::PartCandidate const* const item : *from.candidates()) {
            crash.candidates.push_back(
                {item->id(),
                 before(crash.at, item->sent_before_ms()),
                 item->is_trusted(),
                 item->has_begun(),
                 kind_of(item->is_request())});
        }
    }
    return crash;
}

routing::part_verdict read(wire::PartVerdict const& from, model::time_point now)
{
    routing::part_verdict verdict;
    if (from.ids() != nullptr) {
        auto const* const kinds = from.are_requests();
        for (flatbuffers::uoffset_t place = 0; place < from.ids()->size();
             ++place) {
            bool const is_request = kinds != nullptr && place < kinds->size()
                                    && kinds->Get(place) != 0;
            verdict.parts.push_back(
                {from.service(), from.ids()->Get(place), kind_of(is_request)});
        }
        std::sort(verdict.parts.begin(), verdict.parts.end());
    }
    if (from.versions() != nullptr) {
        verdict.versions.assign(from.versions()->begin(),
                                from.versions()->end());
    }
    verdict.last_crash = before(now, from.crash_age_ms());
    verdict.seen_at = before(now, from.seen_age_ms());
    verdict.failed_probes = from.failed_probes();
    verdict.is_trusted = from.is_trusted();
    return verdict;
}

} // namespace

bool is_part_message(std::string_view bytes)
{
    return bytes.substr(0, mark.size()) == mark;
}

std::string encode_part_message(part_message const& message,
                                model::time_point now)
{
    flatbuffers::FlatBufferBuilder builder;
    auto const crashes =
        table_list<wire::UpstreamCrash>(builder, message.crashes, now);
    auto const verdicts =
        table_list<wire::PartVerdict>(builder, message.verdicts, now);
    std::vector<wire::PartAnswer> answers;
    for (routing::part_answer const& item : message.answers) {
        answers.emplace_back(item.part.service,
                             item.part.id,
                             item.version,
                             millis_between(item.began_at, now),
                             is_request(item.part.kind));
    }
    std::vector<wire::PartTrial> trials;
    for (part_trial const& item : message.trials) {
        trials.emplace_back(item.part.service,
                            item.part.id,
                            item.upstream,
                            item.is_over,
                            is_request(item.part.kind),
                            item.claim);
    }
    std::vector<wire::CrashRefutation> refutations;
    for (routing::crash_refutation const& item : message.refuted) {
        refutations.emplace_back(item.start, millis_between(item.at, now));
    }
    auto const checks = number_list(builder, message.checks);
    auto const live = number_list(builder, message.live);
    Offset<Vector<wire::CrashRefutation const*>> refuted;
    if (!refutations.empty()) {
        refuted = builder.CreateVectorOfStructs(refutations);
    }
    auto const answer_list = builder.CreateVectorOfStructs(answers);
    auto const trial_list = builder.CreateVectorOfStructs(trials);
    builder.Finish(wire::CreatePartMessage(builder,
                                           crashes,
                                           answer_list,
                                           trial_list,
                                           verdicts,
                                           message.asks,
                                           message.goes_no_further,
                                           checks,
                                           live,
                                           refuted));
    return std::string(mark) + text_of(builder);
}

std::optional<part_message> decode_part_message(std::string_view bytes,
                                                model::time_point now)
{
    // Copied, because the fields of a message must be aligned.
    std::string const copy(bytes.substr(mark.size()));
    auto const* const from = verified<wire::PartMessage>(copy);
    if (from == nullptr) {
        return std::nullopt;
    }
    part_message message;
    if (from->crashes() != nullptr) {
        for (wire::UpstreamCrash const* const item : *from->crashes()) {
            message.crashes.push_back(read(*item, now));
        }
    }
    if (from->answers() != nullptr) {
        for (wire::PartAnswer const* const item : *from->answers()) {
            message.answers.push_back(
                {{item->service(), item->id(), kind_of(item->is_request())},
                 item->version(),
                 before(now, item->age_ms())});
        }
    }
    if (from->trials() != nullptr) {
        for (wire::PartTrial const* const item : *from->trials()) {
            message.trials.push_back(
                {{item->service(), item->id(), kind_of(item->is_request())},
                 item->upstream(),
                 item->is_over(),
                 item->claim()});
        }
    }
    if (from->verdicts() != nullptr) {
        for (wire::PartVerdict const* const item : *from->verdicts()) {
            message.verdicts.push_back(read(*item, now));
        }
    }
    if (from->checks() != nullptr) {
        message.checks.assign(from->checks()->begin(), from->checks()->end());
    }
    if (from->live() != nullptr) {
        message.live.assign(from->live()->begin(), from->live()->end());
    }
    if (from->refuted() != nullptr) {
        for (wire::CrashRefutation const* const item : *from->refuted()) {
            message.refuted.push_back(
                {item->start(), before(now, item->age_ms())});
        }
    }
    message.asks = from->asks();
    message.goes_no_further = from->is_forwarded();
    return message;
}

} // namespace caperjunction::proxy
