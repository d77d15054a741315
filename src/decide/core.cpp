#include "decide/core.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// 2.5 MB; a block of today's prompts for each engine many times over.
constexpr std::size_t prefix_sets = 16'384;
// Requests looked at in one tick, so that no tick takes long: a burst of
// expiries is spread over the ticks that follow.
constexpr std::size_t expiries_a_tick = 256;
constexpr model::milliseconds slow_work_period{1000};

} // namespace

core::core(router_settings settings)
    : m_settings(std::move(settings))
    , m_engines(m_settings.host, m_settings.region)
    , m_services(m_settings.region)
    , m_placer(m_settings.seed,
               m_settings.link_bytes_per_second,
               m_settings.link_delay)
    , m_prefixes(prefix_sets)
    , m_outliers(m_settings.seed + 1)
{
}

void core::handle(event const& happened,
                  model::time_point now,
                  std::vector<decision>& out)
{
    m_now = now;
    m_out = &out;
    std::visit(
        [this](auto const& each) {
            on(each);
        },
        happened);
    m_out = nullptr;
}

entry* core::find(model::request_id id)
{
    auto const found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

void core::on(lists_changed const& happened)
{
    if (!m_policy.apply(happened.catalogue)) {
        return;
    }
    // Tiers or classes moved: what waits is sorted anew, under the new rules
    // and in the order it came.
    std::vector<entry*> waiting;
    for (model_group& group : m_engines.groups()) {
        for (index tier = 0; tier < group.queue.tiers(); ++tier) {
            auto const& arrivals = group.queue.queue(tier).arrivals();
            waiting.insert(waiting.end(), arrivals.begin(), arrivals.end());
        }
    }
    for (entry* one : waiting) {
        dequeue(*one);
    }
    for (model_group& group : m_engines.groups()) {
        group.queue.set_shares(m_policy.shares());
    }
    for (auto& known : m_entries) {
        known.second.tier = m_policy.rules(known.second.class_place).tier;
    }
    for (entry* one : waiting) {
        enqueue(*one);
    }
}

void core::on(upstreams_changed const& happened)
{
    m_engines.apply(happened.upstreams, m_policy.shares(), m_now);
    m_services.apply(happened.upstreams);
    for (index group = 0; group < m_engines.groups().size(); ++group) {
        drain(group);
    }
}

void core::on(tick const& /*event*/)
{
    std::size_t looked = 0;
    while (!m_expiries.empty() && m_expiries.begin()->first <= m_now
           && looked++ < expiries_a_tick) {
        model::request_id const id = m_expiries.begin()->second;
        m_expiries.erase(m_expiries.begin());
        entry* const waiting = find(id);
        if (waiting == nullptr || waiting->phase == phase::running) {
            continue;
        }
        if (waiting->phase == phase::handed_over) {
            finish(*waiting);
            continue;
        }
        dequeue(*waiting);
        refuse_request(*waiting,
                       model::error_kind::timed_out,
                       expected_wait(*waiting),
                       "waited_longest",
                       "send it again after the time in Retry-After");
    }
    for (index group = 0; group < m_engines.groups().size(); ++group) {
        shed_late(group);
    }
    revisit_engines();
    revisit_peers();
    drain_suspects();
    if (m_now - m_slow_work_done >= slow_work_period) {
        m_slow_work_done = m_now;
        m_quarantine.expire(m_now);
        model_shift const shift = m_shifter.look(m_engines, m_now);
        if (shift.engine != no_index) {
            m_out->emplace_back(shift_model{m_engines.at(shift.engine).name,
                                            m_engines.model(shift.group),
                                            "one_short_one_idle"});
        }
    }
}

} // namespace caperjunction::decide
