#include "proxy/part_trials.hpp"

namespace caperjunction::proxy {
namespace {

void tell_trial(relay_context& context,
                std::vector<routing::shared_part> const& parts,
                part_trial trial)
{
    part_message news;
    for (routing::shared_part const& part : parts) {
        trial.part = part;
        news.trials.push_back(trial);
    }
    if (context.tell_parts) {
        context.tell_parts(news);
    }
}

} // namespace

void claim_trial(relay_context& context,
                 std::vector<routing::shared_part> const& parts,
                 std::uint32_t claim)
{
    context.parts.begin_trial(parts, 0, context.loop.now(), claim);
    part_trial trial;
    trial.claim = claim;
    tell_trial(context, parts, trial);
}

void begin_trial(relay_context& context,
                 std::vector<routing::shared_part> const& parts,
                 routing::upstream_state const& at,
                 std::uint32_t claim)
{
    part_trial trial;
    trial.upstream = routing::start_key(at.description);
    trial.claim = claim;
    context.parts.begin_trial(parts, trial.upstream, context.loop.now(), claim);
    tell_trial(context, parts, trial);
}

void end_trial(relay_context& context,
               std::vector<routing::shared_part> const& parts)
{
    if (parts.empty()) {
        return;
    }
    context.parts.end_trial(parts);
    part_trial trial;
    trial.is_over = true;
    tell_trial(context, parts, trial);
}

} // namespace caperjunction::proxy
