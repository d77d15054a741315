#include "program/request_tracker.hpp"

namespace caperjunction::program {

void request_tracker::record(decide::event const& event)
{
    if (auto const* arrived = std::get_if<decide::request_arrived>(&event)) {
        decide::request const& request = arrived->request;
        m_requests[request.id] = {request.customer, request.service_class, ""};
    } else if (auto const* ended = std::get_if<decide::attempt_ended>(&event)) {
        auto const found = m_requests.find(ended->id);
        if (found != m_requests.end()) {
            found->second.upstream.clear();
        }
    }
}

void request_tracker::record(decide::decision const& decision)
{
    if (auto const* placed = std::get_if<decide::dispatch>(&decision)) {
        auto const found = m_requests.find(placed->id);
        if (found != m_requests.end()) {
            found->second.upstream = placed->upstream;
        }
    } else if (auto const* refusal = std::get_if<decide::refuse>(&decision)) {
        ++m_refused[refusal->reason];
    }
}

void request_tracker::forget(model::request_id id)
{
    m_requests.erase(id);
}

request_facts const& request_tracker::facts(model::request_id id) const
{
    static request_facts const s_none;
    auto const found = m_requests.find(id);
    return found == m_requests.end() ? s_none : found->second;
}

std::map<std::string, std::uint32_t>
request_tracker::running_by_upstream() const
{
    std::map<std::string, std::uint32_t> counts;
    for (auto const& [id, facts] : m_requests) {
        if (!facts.upstream.empty()) {
            ++counts[facts.upstream];
        }
    }
    return counts;
}

std::map<std::string, std::uint32_t> request_tracker::waiting_by_class() const
{
    std::map<std::string, std::uint32_t> counts;
    for (auto const& [id, facts] : m_requests) {
        if (facts.upstream.empty()) {
            ++counts[facts.service_class];
        }
    }
    return counts;
}

} // namespace caperjunction::program
