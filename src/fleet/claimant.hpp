#ifndef CAPERJUNCTION_FLEET_CLAIMANT_HPP
#define CAPERJUNCTION_FLEET_CLAIMANT_HPP

#include "fleet/claim_call.hpp"
#include "fleet/claim_decision.hpp"
#include "fleet/claim_event.hpp"
#include "fleet/claim_settings.hpp"
#include "fleet/claim_view.hpp"
#include "fleet/pause_detector.hpp"
#include "model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace caperjunction::fleet {

/// Entry host side of non-repeatable calls: claims a key at its witnesses and
/// decides whether the call may be dispatched.
///
/// A caller may resend a booking, to this or another host, while the first
/// copy runs or after its host has crashed. Without claims the call runs twice
/// and the customer is charged twice. Symptom: the service counts more
/// bookings than there are `request_placed` log lines with distinct keys.
///
/// Thread safety: none; owned by one task. Copyable, for exploration.
class claimant
{
public:
    claimant(std::string host,
             std::uint64_t generation,
             claim_settings const& settings);

    /// Handles one event at time `now` and appends the decisions to `out`.
    ///
    /// \pre `now` is not before that of any earlier call.
    void handle(claimant_event const& event,
                model::time_point now,
                std::vector<claim_decision>& out);

    /// Has to be called immediately before the first byte of the call is sent
    /// to an upstream. Returns true at most once per attempt. After false, end
    /// the call with `claim_ended{not_run}`; the decision that follows is the
    /// caller's answer.
    ///
    /// \pre `now` is read after any operation that may block.
    bool begin_dispatch(claim_key key, model::time_point now);

    /// Returns the attempt by which this host claims or runs the key, if any.
    /// It identifies the answer that is stored for resends.
    std::optional<claim_attempt> running_attempt(claim_key key) const;

    /// Returns whether this host claims, queues or runs the key.
    bool active(claim_key key) const;

    /// Returns the number of calls being claimed, queued or run.
    std::size_t calls() const
    {
        return m_calls.size();
    }

    /// Appends the serialized state; equal states give equal bytes. See
    /// claim_fingerprint.hpp.
    void fingerprint(model::time_point now, std::string& out) const;

private:
    using decisions = std::vector<claim_decision>;

    void on_event(claim_view_listed const& event,
                  model::time_point now,
                  decisions& out);
    void on_event(claim_view_confirmed const& event,
                  model::time_point now,
                  decisions& out);
    void
    on_event(claim_started const& event, model::time_point now, decisions& out);
    void
    on_event(claim_ended const& event, model::time_point now, decisions& out);
    void on_event(claim_received const& event,
                  model::time_point now,
                  decisions& out);
    void
    on_event(claim_tick const& event, model::time_point now, decisions& out);

    void
    on_reply(std::string const& from, claim_reply const& reply, decisions& out);
    void on_late_grant(std::string const& from,
                       claim_reply const& reply,
                       decisions& out) const;
    void on_query(claim_query const& query, decisions& out) const;
    bool answer_resend(claim_started const& event, decisions& out) const;
    void send_requests(claim_key key,
                       claim_call& call,
                       model::time_point now,
                       decisions& out) const;
    void evaluate_votes(claim_key key, decisions& out);
    void abandon(claim_key key, decisions& out);
    void end_undispatched(claim_key key,
                          model::time_point now,
                          std::string reason,
                          decisions& out);
    void notify_witnesses(claim_key key,
                          claim_attempt const& attempt,
                          std::vector<std::string> const& witnesses,
                          decisions& out) const;
    claim_attempt attempt_of(claim_call const& call) const;

    std::string m_host;
    std::uint64_t m_generation;
    claim_settings m_settings;
    pause_detector m_pause_detector;
    model::time_point m_last_pause_end{};
    std::shared_ptr<claim_view const> m_view;
    std::uint64_t m_attempts = 0;
    std::map<claim_key, claim_call> m_calls;
    /// Calls that ended after their dispatch, kept for one retention time.
    std::map<claim_key, claim_finished> m_finished;
    std::deque<std::pair<model::time_point, claim_key>> m_finished_until;
};

} // namespace caperjunction::fleet

#endif
