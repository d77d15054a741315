#include "proxy/crash_checks.hpp"

#include <optional>

namespace caperjunction::proxy {
namespace {

/// Maximum time from the break to the report of another host's connection that
/// refutes the crash: later, a crashed upstream may have started again. Covers
/// two round trips between distant data centres.
constexpr model::milliseconds max_check_time{250};

} // namespace

void check_for_other(relay_context& context,
                     std::uint64_t start,
                     std::function<void()> const& on_live)
{
    routing::upstream_ptr upstream;
    context.directory.each([&](routing::upstream_state const& state) {
        if (routing::start_key(state.description) == start) {
            upstream = context.directory.find(state.description.id);
        }
    });
    if (upstream == nullptr) {
        return;
    }
    context.pool.probe(upstream,
                       std::nullopt,
                       max_check_time,
                       [on_live](std::optional<answer_fault> fault) {
                           if (!fault) {
                               on_live();
                           }
                       });
}

void record_live(relay_context& context, std::uint64_t start)
{
    auto const found = context.broken_upstreams.find(start);
    if (found == context.broken_upstreams.end() || !found->second.has_crashed) {
        return;
    }
    routing::crash_refutation const refutation{start, found->second.crash.at};
    if (context.loop.now() - refutation.at > max_check_time) {
        return;
    }
    if (context.on_crash_refuted) {
        context.on_crash_refuted(found->second);
    }
    context.broken_upstreams.erase(found);
    context.parts.refute(refutation);
    part_message news;
    news.refuted = {refutation};
    if (context.tell_parts) {
        context.tell_parts(news);
    }
}

} // namespace caperjunction::proxy
