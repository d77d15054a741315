#ifndef CAPERJUNCTION_PROGRAM_BOOKINGS_HPP
#define CAPERJUNCTION_PROGRAM_BOOKINGS_HPP

#include "decide/request.hpp"
#include "fleet/claim_answers.hpp"
#include "fleet/claimant.hpp"
#include "fleet/witness.hpp"
#include "model/host_list.hpp"
#include "model/outcome.hpp"
#include "model/time.hpp"
#include "net/caller_reply.hpp"
#include "net/relay_message.hpp"
#include "net/relay_report.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace caperjunction::program {

/// Callbacks by which `bookings` acts on the host.
struct booking_hooks
{
    std::function<void(std::string const& to, fleet::claim_message const&)>
        send;
    /// Passes a call whose claim is granted to the decision logic.
    std::function<void(decide::request const&)> admit;
    /// Answers the caller immediately; the call is not placed.
    std::function<void(net::relay_message)> answer;
};

struct booking_settings
{
    std::string host;
    std::uint64_t generation = 0;
    bool first_fleet = false;
    fleet::claim_settings claims;
    /// Memory limit for answers that are stored for resends, in bytes.
    std::size_t answer_bytes = std::size_t{32} * 1024 * 1024;
};

/// Ensures that a non-repeatable call runs at most once. Owns this host's
/// claims, its votes as a witness, and the answers stored for resends.
///
/// Thread safety: none; owned by one task.
class bookings
{
public:
    bookings(booking_settings settings, booking_hooks hooks);

    void set_hosts(model::host_list const& hosts, model::time_point now);
    void confirm_hosts(model::time_point as_of, model::time_point now);
    void start(net::booking_arrived const& arrived, model::time_point now);
    void receive(std::string const& from,
                 fleet::claim_message const& message,
                 model::time_point now);
    /// Records that another host was restarted as a new process.
    void record_restart(std::string const& host, model::time_point now);
    void tick(model::time_point now);

    /// Has to be called immediately before a call is passed to the relay.
    /// Returns the time after which the relay must not start the call, or
    /// nothing if the call must not be dispatched (any more).
    std::optional<model::time_point> begin_dispatch(model::request_id id,
                                                    model::time_point now);

    /// Returns whether this request is a non-repeatable call.
    bool contains(model::request_id id) const
    {
        return m_pending.count(id) > 0;
    }

    void keep_answer(net::booking_answered const& answer,
                     model::time_point now);
    void
    end(model::request_id id, model::outcome outcome, model::time_point now);

    void plan_stop(model::time_point now);

    /// Returns whether all votes are handed over, during a planned stop.
    bool hand_over_complete() const
    {
        return m_witness.hand_over_complete();
    }

    std::size_t claims() const
    {
        return m_witness.claims();
    }

private:
    struct pending_call
    {
        decide::request request;
        fleet::claim_key key;
        /// The claim is granted, and the decision logic has the request.
        bool admitted = false;
        /// A refusal has been sent; the end of the exchange follows.
        bool answered = false;
        /// Deadline for the requested answer of the first run; zero if none
        /// was requested.
        model::time_point fetch_until{};
        /// What the caller is told if the host of the first run has no answer.
        std::string no_answer_reason;
        model::milliseconds no_answer_retry_after{0};
    };

    /// Time within which the host of the first run has to send its answer.
    static constexpr model::milliseconds fetch_timeout{2'000};
    /// The same if the first run is not known to have ended.
    static constexpr model::milliseconds running_fetch_timeout{500};
    static constexpr model::milliseconds fetch_retry_after{5'000};

    void handle_claimant_event(fleet::claimant_event const& event,
                               model::time_point now);
    void handle_witness_event(fleet::witness_event const& event,
                              model::time_point now);
    void execute(fleet::claim_decision const& decision, model::time_point now);
    void fetch(fleet::claim_fetch_answer const& wanted, model::time_point now);
    /// Answers `unknown`, unless the attempt that holds the claim has its
    /// answer by now.
    void resolve_unknown(fleet::claim_unknown const& unknown,
                         model::time_point now);
    void send_answer(std::string const& to,
                     fleet::answer_query const& query,
                     model::time_point now);
    void handle_answer(fleet::answer_reply const& reply);
    void deliver(std::string const& to,
                 fleet::claim_message const& message,
                 model::time_point now);
    void refuse(std::uint64_t ticket,
                net::error_reply const& error,
                model::outcome outcome);
    void refuse_unknown(std::uint64_t ticket,
                        model::milliseconds retry_after,
                        std::string const& reason);

    booking_settings m_settings;
    booking_hooks m_hooks;
    fleet::claimant m_claimant;
    fleet::witness m_witness;
    fleet::claim_answers m_answers;
    std::unordered_map<model::request_id, pending_call> m_pending;
    // A host list that contains this host has been received.
    bool m_listed = false;
};

} // namespace caperjunction::program

#endif
