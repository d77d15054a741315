#include "decide/core.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// 2.5 MB; holds the blocks of typical prompts for each engine many times over.
constexpr std::size_t prefix_sets = 16'384;
// Limits the work of one tick; a burst of expiries is spread over several.
constexpr std::size_t max_expiries_per_tick = 256;
constexpr model::milliseconds periodic_work_interval{1000};

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

void core::handle(event const& input,
                  model::time_point now,
                  std::vector<decision>& out)
{
    m_now = now;
    m_out = &out;
    std::visit(
        [this](auto const& alternative) {
            on(alternative);
        },
        input);
    m_out = nullptr;
}

entry* core::find(model::request_id id)
{
    auto const found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

void core::on(lists_changed const& input)
{
    if (!m_policy.apply(input.catalogue)) {
        return;
    }
    // Tiers or classes changed: queued requests are sorted again under the new
    // rules, in arrival order.
    std::vector<entry*> waiting;
    for (model_group& group : m_engines.groups()) {
        for (index tier = 0; tier < group.queue.tiers(); ++tier) {
            auto const& arrivals = group.queue.queue(tier).arrivals();
            waiting.insert(waiting.end(), arrivals.begin(), arrivals.end());
        }
    }
    for (entry* request : waiting) {
        dequeue(*request);
    }
    for (model_group& group : m_engines.groups()) {
        group.queue.set_shares(m_policy.shares());
    }
    for (auto& item : m_entries) {
        item.second.tier = m_policy.rules(item.second.class_id).tier;
    }
    for (entry* request : waiting) {
        enqueue(*request);
    }
}

void core::on(upstreams_changed const& input)
{
    m_engines.apply(input.upstreams, m_policy.shares(), m_now);
    m_services.apply(input.upstreams);
    end_waits_for_gone_versions();
    for (index group = 0; group < m_engines.groups().size(); ++group) {
        dispatch_queued(group);
    }
}

void core::on(tick const& /*event*/)
{
    std::size_t handled = 0;
    while (!m_expiries.empty() && m_expiries.begin()->first <= m_now
           && handled++ < max_expiries_per_tick) {
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
    poll_engines();
    poll_peers();
    dispatch_suspects();
    if (m_now - m_periodic_work_done >= periodic_work_interval) {
        m_periodic_work_done = m_now;
        m_quarantine.expire(m_now);
        model_shift const shift = m_shifter.poll(m_engines, m_now);
        if (shift.engine != no_index) {
            m_out->emplace_back(shift_model{m_engines.at(shift.engine).name,
                                            m_engines.model(shift.group),
                                            "one_short_one_idle"});
        }
    }
}

} // namespace caperjunction::decide
