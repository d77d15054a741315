#ifndef CAPERJUNCTION_DECIDE_CORE_HPP
#define CAPERJUNCTION_DECIDE_CORE_HPP

#include "decide/broken_attempt.hpp"
#include "decide/decision.hpp"
#include "decide/engine_table.hpp"
#include "decide/entry.hpp"
#include "decide/event.hpp"
#include "decide/length_predictor.hpp"
#include "decide/model_shifter.hpp"
#include "decide/name_table.hpp"
#include "decide/outlier_detector.hpp"
#include "decide/peer.hpp"
#include "decide/placer.hpp"
#include "decide/policy_table.hpp"
#include "decide/prefix_index.hpp"
#include "decide/quarantine.hpp"
#include "decide/retry_budget.hpp"
#include "decide/router.hpp"
#include "decide/service_table.hpp"
#include "decide/team_state.hpp"

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace caperjunction::decide {

/// Implementation of `router`: each event updates the components, and the
/// resulting decisions are appended to `m_out`.
///
/// Split over several files: core.cpp (events), core_admit.cpp,
/// core_hand_over.cpp, core_refuse.cpp, core_place.cpp, core_attempt.cpp,
/// core_engine.cpp, core_peer.cpp.
///
/// Thread safety: none; owned by one task.
class core
{
public:
    explicit core(router_settings settings);

    void handle(event const& input,
                model::time_point now,
                std::vector<decision>& out);

    std::vector<std::uint8_t> digest_bytes(model::time_point now) const;

private:
    using expiry = std::pair<model::time_point, model::request_id>;

    // Events.
    void on(lists_changed const& input);
    void on(upstreams_changed const& input);
    void on(request_arrived const& input);
    void on(request_cancelled const& input);
    void on(tokens_relayed const& input);
    void on(attempt_ended const& input);
    void on(engine_report const& input);
    void on(cache_changed const& input);
    void on(engine_lost const& input);
    void on(digest_received const& input);
    void on(host_lost const& input);
    void on(hand_over_refused const& input);
    void on(tick const& input);

    // Admission.
    entry& add_entry(request const& arriving);
    bool refuse_quarantined(entry& waiting);
    bool refuse_version_gone(entry& waiting);
    void end_waits_for_gone_versions();
    bool refuse_over_limit(entry& waiting);
    bool refuse_early(entry& waiting);
    bool try_hand_over(entry& waiting, std::string const& reason);
    bool reaches_any_engine(model_group const& group) const;
    /// Returns a host that may get the request because this one reaches none of
    /// its engines, or null.
    peer const* find_host_that_reaches(entry const& waiting) const;
    bool hand_over_unreachable(entry& waiting);
    void hand_over_queued_unreachable(model_group& group);
    void
    hand_over_to(peer const& target, entry& waiting, std::string const& reason);
    overload_gate& gate(entry const& waiting);
    void refuse_late(entry& waiting);
    bool is_higher_tier_refused(entry const& waiting);
    model::milliseconds retry_delay(entry const& waiting);
    void evict_if_full(entry const& arriving);
    void enqueue(entry& waiting);
    void dequeue(entry& waiting);
    model::milliseconds expected_wait(entry const& waiting) const;
    void refuse_request(entry& waiting,
                        model::error_kind kind,
                        model::milliseconds retry_after,
                        std::string reason,
                        std::string remedy);
    void finish(entry& done);

    // Placement.
    void dispatch_queued(index group);
    bool dispatch_next(index group);
    void dispatch_suspects();
    void shed_late(index group);
    bool misses_deadline(entry const& waiting) const;
    bool try_dispatch(entry& waiting);
    bool dispatch_service_call(entry& waiting);
    bool must_yield(entry const& waiting) const;
    bool is_higher_tier_queued(entry const& waiting) const;
    void emit_dispatch(entry& waiting, placement chosen, std::string reason);

    // Attempts.
    void release(entry& running);
    void charge_overrun(entry& running);
    void set_expected_output(entry& running, std::uint32_t tokens);
    void refund_undelivered(entry& ended);
    void end_complete(entry& running, attempt_ended const& input);
    void record_broken(entry& running, index upstream);
    void end_broken(entry& running, index upstream);
    void
    pause_upstream(index upstream, bool is_service, model::milliseconds pause);
    void end_not_run(entry& running, index upstream);
    void retry(entry& waiting, index avoided, std::string const& reason);

    // Engines.
    void check_engine_health(index engine);
    void eject(index engine);
    void mark_lost(index engine);
    void attribute_crash(index engine);
    std::vector<broken_attempt> extract_broken(index engine);
    void record_suspect(broken_attempt const& attempt, crash_evidence evidence);
    void poll_engines();
    void start_probing(index engine);
    void dispatch_for_engine(index engine);
    model::milliseconds min_inter_token_target(index group) const;

    // Peers.
    void add_peer_load(peer const& sender, int sign);
    void remove_peer(peer& removed);
    void update_position(peer const& sender, int sign);
    void charge_remote_tokens(peer const& sender);
    void poll_peers();
    index team_index(std::string const& customer,
                     std::string const& team,
                     std::string const& plan);
    void add_queues(digest& load, model::time_point now) const;
    void add_suspects(digest& load) const;

    entry* find(model::request_id id);

    router_settings m_settings;
    model::time_point m_now{};
    std::vector<decision>* m_out = nullptr;
    policy_table m_policy;
    engine_table m_engines;
    service_table m_services;
    placer m_placer;
    prefix_index m_prefixes;
    length_predictor m_lengths;
    outlier_detector m_outliers;
    quarantine m_quarantine;
    model_shifter m_shifter;
    std::unordered_map<model::request_id, entry> m_entries;
    std::set<expiry> m_expiries;
    /// Suspects waiting for an engine that runs no other suspect.
    std::vector<model::request_id> m_queued_suspects;
    std::vector<retry_budget> m_retries;
    std::vector<model::time_point> m_class_last_seen;
    name_table m_team_names;
    std::vector<team_state> m_teams;
    /// Tokens served to each team on other hosts, from their digests.
    std::vector<double> m_remote_tokens;
    std::unordered_map<std::uint32_t, index> m_team_hashes;
    name_table m_peer_names;
    std::vector<peer> m_peers;
    host_position m_position;
    std::size_t m_next_polled_engine = 0;
    std::size_t m_next_polled_peer = 0;
    model::time_point m_periodic_work_done{};
    /// Recently broken attempts, kept in case their engine is reported lost.
    std::vector<broken_attempt> m_broken_attempts;
};

} // namespace caperjunction::decide

#endif
