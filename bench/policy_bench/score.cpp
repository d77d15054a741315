#include "bench/policy_bench/score.hpp"

#include "bench/policy_bench/trace.hpp"

#include <algorithm>

namespace caperjunction::bench {

score::score(deployment const& deployment,
             scenario const& scenario,
             std::uint64_t seed,
             callers const& from,
             fleet const& hosts)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_seed(seed)
    , m_callers(from)
    , m_fleet(hosts)
{
}

model::time_point score::window_end() const
{
    return model::time_point{} + m_scenario.length;
}

double score::capacity() const
{
    return m_deployment.capacity() * model::seconds(m_scenario.length).count();
}

bool score::in_time(caller const& sender) const
{
    send const& last = m_fleet.sends()[sender.send];
    return last.end == send_end::ran
           && last.first_token - sender.plan->when
                  <= m_deployment.class_of(sender.plan->load)
                         .first_token_target;
}

bool score::within(caller const& sender) const
{
    send const& last = m_fleet.sends()[sender.send];
    if (!in_time(sender)) {
        return false;
    }
    return last.relayed < 2
           || (last.last_token - last.first_token) / (last.relayed - 1)
                  <= m_deployment.class_of(sender.plan->load)
                         .inter_token_target;
}

bool score::left_in_time(caller const& sender) const
{
    if (!sender.left) {
        return false;
    }
    send const& last = m_fleet.sends()[sender.send];
    model::time_point const until =
        last.has_answer() ? last.first_token
                          : sender.plan->when + sender.plan->hangs_up_after;
    return until - sender.plan->when
           <= m_deployment.class_of(sender.plan->load).first_token_target;
}

double score::work_of(caller const& sender) const
{
    return m_deployment.work(sender.plan->prompt_tokens,
                             sender.plan->output_tokens);
}

double score::work_in_window(send const& sent) const
{
    bool const begun = sent.has_answer() && sent.first_token <= window_end();
    return m_deployment.work(begun ? sent.plan->prompt_tokens : 0,
                             sent.relayed_in_window);
}

double score::settled_work(send const& sent) const
{
    bool const begun =
        sent.has_answer() && sent.first_token <= window_end()
        && sent.first_token >= model::time_point{} + m_scenario.settled();
    return m_deployment.work(begun ? sent.plan->prompt_tokens : 0,
                             sent.relayed_settled);
}

class_result score::describe(std::size_t load) const
{
    class_result made;
    made.name = m_deployment.loads[load].service_class;
    made.tier = m_deployment.tier_of(load).name;
    made.promised = m_deployment.class_of(load).promised_attainment;
    double share = 0.0;
    for (std::size_t other = 0; other < m_deployment.loads.size(); ++other) {
        if (m_deployment.tier_of(other).name == made.tier) {
            share += peak_share(m_deployment, m_scenario, m_seed, other);
        }
    }
    made.fits_share = share <= m_deployment.tier_of(load).guaranteed_share;
    return made;
}

void score::count(caller const& sender, class_result& into) const
{
    send_end const end = m_fleet.sends()[sender.send].end;
    ++into.offered;
    into.served += end == send_end::ran ? 1 : 0;
    into.refused += end == send_end::refused ? 1 : 0;
    into.failed += end == send_end::failed ? 1 : 0;
    into.hung_up += end == send_end::hung_up ? 1 : 0;
    into.within += within(sender) ? 1 : 0;
    into.late += end == send_end::ran && !in_time(sender) ? 1 : 0;
    into.slow += in_time(sender) && !within(sender) ? 1 : 0;
    into.not_counted += left_in_time(sender) ? 1 : 0;
    if (sender.plan->team != 0 && !left_in_time(sender)) {
        ++into.smaller_teams;
        into.smaller_teams_within += within(sender) ? 1 : 0;
    }
}

score::work_sums score::sum_work() const
{
    work_sums sums;
    for (caller const& sender : m_callers.all()) {
        if (sender.plan->killer || left_in_time(sender)) {
            continue;
        }
        sums.demanded += work_of(sender);
        if (within(sender)) {
            sums.in_time += work_of(sender);
            sums.in_time_in_window +=
                work_in_window(m_fleet.sends()[sender.send]);
        }
    }
    return sums;
}

double score::wasted() const
{
    std::vector<bool> begun(m_fleet.sends().size());
    double computed = 0.0;
    double useful = 0.0;
    for (attempt const& one : m_fleet.attempts()) {
        computed += m_deployment.work(one.result.computed_prompt,
                                      one.result.computed_output);
        send const& sent = m_fleet.sends()[one.send];
        bool const taken =
            sent.end == send_end::ran || sent.end == send_end::hung_up;
        if (!taken || one.relayed == 0) {
            continue;
        }
        // A prompt that is prefilled again for a resumed answer is duplicate
        // work.
        std::uint32_t const prompt = begun[one.send]
                                         ? 0
                                         : std::min(one.result.computed_prompt,
                                                    sent.plan->prompt_tokens);
        begun[one.send] = true;
        useful += m_deployment.work(prompt, one.relayed);
    }
    return computed > 0.0 ? (computed - useful) / computed : 0.0;
}

std::vector<tier_result> score::tiers() const
{
    double const settled_share =
        1.0
        - std::chrono::duration<double>(m_scenario.settled())
              / std::chrono::duration<double>(m_scenario.length);
    std::vector<tier_result> all;
    for (lists::tier const& tier : m_deployment.catalogue->plans().tiers) {
        tier_result made;
        made.name = tier.name;
        made.guaranteed = tier.guaranteed_share;
        for (caller const& sender : m_callers.all()) {
            if (m_deployment.tier_of(sender.plan->load).name != tier.name
                || sender.plan->killer) {
                continue;
            }
            made.demanded += work_of(sender) / capacity();
            made.delivered += settled_work(m_fleet.sends()[sender.send])
                              / (capacity() * settled_share);
        }
        all.push_back(made);
    }
    return all;
}

std::vector<region_result> score::regions() const
{
    std::vector<region_result> all;
    for (std::string const& name : m_deployment.regions) {
        all.push_back({name, 0, 0});
    }
    model::time_point const begin{};
    for (caller const& sender : m_callers.all()) {
        if (sender.plan->killer || left_in_time(sender)
            || sender.plan->when < begin + m_scenario.from
            || sender.plan->when >= begin + m_scenario.until) {
            continue;
        }
        send const& last = m_fleet.sends()[sender.send];
        model::host const& host = m_deployment.hosts[last.entry_host];
        std::size_t const place =
            m_deployment.place_of(host.region, host.data_centre).region;
        ++all[place].offered;
        all[place].served += last.end == send_end::ran ? 1 : 0;
    }
    return all;
}

void score::fill(run_result& result) const
{
    for (std::size_t load = 0; load < m_deployment.loads.size(); ++load) {
        result.classes.push_back(describe(load));
    }
    for (caller const& sender : m_callers.all()) {
        if (!sender.plan->killer) {
            count(sender, result.classes[sender.plan->load]);
        }
    }
    for (send const& one : m_fleet.sends()) {
        model::time_point const until =
            one.has_answer() ? one.first_token : one.ended;
        double& longest = result.classes[one.plan->load].max_wait_s;
        longest = std::max(longest, model::seconds(until - one.at).count());
    }
    work_sums const sums = sum_work();
    bool const saturated = sums.demanded > capacity();
    result.goodput_ratio = saturated ? sums.in_time_in_window / capacity()
                                     : sums.in_time / sums.demanded;
    result.wasted_ratio = wasted();
    result.tiers = tiers();
    result.regions = regions();
}

} // namespace caperjunction::bench
