#include "bench/policy_bench/direct_policy.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::bench {
namespace {

constexpr model::milliseconds retry_after{1'000};

} // namespace

direct_policy::direct_policy(chooser choose, ranker rank)
    : m_choose(std::move(choose))
    , m_rank(std::move(rank))
{
}

void direct_policy::handle(decide::event const& event,
                           std::vector<decide::decision>& out)
{
    if (auto const* lists = std::get_if<decide::lists_changed>(&event)) {
        m_catalogue = lists->catalogue;
    } else if (auto const* changed =
                   std::get_if<decide::upstreams_changed>(&event)) {
        m_upstreams = changed->upstreams;
    } else if (auto const* arrived =
                   std::get_if<decide::request_arrived>(&event)) {
        handle_arrival(arrived->request, out);
    } else if (auto const* ended = std::get_if<decide::attempt_ended>(&event)) {
        end(*ended, out);
    } else if (auto const* hung_up =
                   std::get_if<decide::request_cancelled>(&event)) {
        cancel(hung_up->id, out);
    }
}

std::vector<std::string>
direct_policy::upstreams_for(decide::request const& request) const
{
    std::vector<std::string> names;
    for (model::engine const& engine : m_upstreams.engines) {
        bool const serves = std::count(engine.models.begin(),
                                       engine.models.end(),
                                       request.model)
                            > 0;
        if (serves && !engine.leaving) {
            names.push_back(engine.name);
        }
    }
    for (model::service_instance const& one : m_upstreams.services) {
        if (one.service == request.service && !one.leaving) {
            names.push_back(one.name);
        }
    }
    return names;
}

void direct_policy::handle_arrival(decide::request const& request,
                                   std::vector<decide::decision>& out)
{
    auto const upstreams = upstreams_for(request);
    if (upstreams.empty()) {
        out.emplace_back(decide::refuse{request.id,
                                        model::error_kind::unavailable,
                                        model::outcome::not_run,
                                        retry_after,
                                        "no_upstream",
                                        "send it again later"});
        return;
    }
    std::string const& chosen = m_choose(upstreams, m_outstanding);
    ++m_outstanding[chosen];
    m_assigned_upstreams[request.id] = chosen;
    decide::dispatch made;
    made.id = request.id;
    made.upstream = chosen;
    made.priority = m_rank(*m_catalogue, request);
    made.reason = "baseline";
    out.emplace_back(made);
}

void direct_policy::end(decide::attempt_ended const& ended,
                        std::vector<decide::decision>& out)
{
    auto const found = m_assigned_upstreams.find(ended.id);
    if (found == m_assigned_upstreams.end()) {
        return;
    }
    --m_outstanding[found->second];
    m_assigned_upstreams.erase(found);
    if (ended.end == decide::attempt_end::complete
        || ended.end == decide::attempt_end::cancelled) {
        return;
    }
    bool const certain = ended.end == decide::attempt_end::refused
                         || ended.end == decide::attempt_end::unreachable;
    out.emplace_back(decide::refuse{ended.id,
                                    model::error_kind::upstream_failed,
                                    certain ? model::outcome::not_run
                                            : model::outcome::unknown,
                                    retry_after,
                                    "attempt_failed",
                                    "send it again later"});
}

void direct_policy::cancel(model::request_id id,
                           std::vector<decide::decision>& out)
{
    auto const found = m_assigned_upstreams.find(id);
    if (found != m_assigned_upstreams.end()) {
        out.emplace_back(decide::cancel_attempt{id, found->second, "hung_up"});
    }
}

} // namespace caperjunction::bench
