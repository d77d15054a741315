#ifndef CAPERJUNCTION_PROGRAM_REQUEST_TRACKER_HPP
#define CAPERJUNCTION_PROGRAM_REQUEST_TRACKER_HPP

#include "decide/decision.hpp"
#include "decide/event.hpp"
#include "model/request_id.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace caperjunction::program {

/// Facts about a request, for the log and the status page.
struct request_facts
{
    std::string customer;
    std::string service_class;
    /// Upstream that runs the request; empty while it waits.
    std::string upstream;
};

/// Tracks the running, waiting and refused requests of this host from events
/// and decisions, for the status page and the metrics.
///
/// Thread safety: none; owned by one task.
class request_tracker
{
public:
    void record(decide::event const& event);
    void record(decide::decision const& decision);

    /// Removes a request whose exchange has ended.
    void forget(model::request_id id);

    /// Returns empty facts if the request is unknown.
    request_facts const& facts(model::request_id id) const;

    bool knows(model::request_id id) const
    {
        return m_requests.count(id) > 0;
    }

    std::size_t known() const
    {
        return m_requests.size();
    }

    std::map<std::string, std::uint32_t> running_by_upstream() const;
    std::map<std::string, std::uint32_t> waiting_by_class() const;

    std::map<std::string, std::uint64_t> const& refused_by_reason() const
    {
        return m_refused;
    }

private:
    std::unordered_map<model::request_id, request_facts> m_requests;
    std::map<std::string, std::uint64_t> m_refused;
};

} // namespace caperjunction::program

#endif
