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

/// The parts of the decision logic joined: each event changes them, and the
/// decisions that follow are appended to `m_out`.
///
/// Split over several files: core.cpp (events), core_admit.cpp,
/// core_refuse.cpp, core_place.cpp, core_attempt.cpp, core_engine.cpp,
/// core_peer.cpp.
///
/// Thread safety: none; owned by one task.
class core
{
public:
    explicit core(router_settings settings);

    void handle(event const& happened,
                model::time_point now,
                std::vector<decision>& out);

    std::vector<std::uint8_t> digest_bytes(model::time_point now) const;

private:
    using expiry = std::pair<model::time_point, model::request_id>;

    // Events.
    void on(lists_changed const& happened);
    void on(upstreams_changed const& happened);
    void on(request_arrived const& happened);
    void on(request_cancelled const& happened);
    void on(tokens_relayed const& happened);
    void on(attempt_ended const& happened);
    void on(engine_report const& happened);
    void on(cache_changed const& happened);
    void on(engine_lost const& happened);
    void on(digest_received const& happened);
    void on(host_lost const& happened);
    void on(hand_over_refused const& happened);
    void on(tick const& happened);

    // Admission.
    entry& admit(request const& source);
    bool refuse_quarantined(entry& waiting);
    bool refuse_over_limit(entry& waiting);
    bool refuse_early(entry& waiting);
    bool hand_to_peer(entry& waiting, std::string const& reason);
    overload_gate& gate(entry const& waiting);
    void refuse_late(entry& waiting);
    bool higher_refused(entry const& waiting);
    model::milliseconds time_to_come_back(entry const& waiting);
    void make_room(entry const& arriving);
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
    void drain(index group);
    bool start_next(index group);
    void drain_suspects();
    void shed_late(index group);
    bool hopeless(entry const& waiting) const;
    bool start(entry& waiting);
    bool start_service(entry& waiting);
    bool must_yield(entry const& waiting) const;
    bool higher_waits(entry const& waiting) const;
    void send(entry& waiting, placement chosen, std::string reason);

    // Attempts.
    void release(entry& running);
    void charge_overrun(entry& running);
    void expect_output(entry& running, std::uint32_t tokens);
    void end_whole(entry& running, attempt_ended const& happened);
    void note_broken(entry& running, index upstream);
    void end_broken(entry& running, index upstream);
    void end_not_run(entry& running, index upstream);
    void try_again(entry& waiting, index avoided, std::string const& reason);

    // Engines.
    void judge(index engine);
    void eject(index engine);
    void lose(index engine);
    void blame(index engine);
    std::vector<broken_attempt> take_broken(index engine);
    void suspect(broken_attempt const& attempt, blame_weight weight);
    void revisit_engines();
    void probe(index engine);
    void drain_engine(index engine);
    model::milliseconds tightest_gap(index group) const;

    // Peers.
    void add_peer_load(peer const& source, int sign);
    void forget_peer(peer& gone);
    void count_peer(peer const& source, int sign);
    void count_elsewhere(peer const& source);
    void revisit_peers();
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
    /// Suspects that wait for an engine without another one.
    std::vector<model::request_id> m_waiting_suspects;
    std::vector<retry_budget> m_retries;
    std::vector<model::time_point> m_class_seen;
    name_table m_team_names;
    std::vector<team_state> m_teams;
    /// Tokens that each team has got on other hosts, by their digests.
    std::vector<double> m_elsewhere;
    std::unordered_map<std::uint32_t, index> m_team_hashes;
    name_table m_peer_names;
    std::vector<peer> m_peers;
    host_position m_position;
    std::size_t m_next_engine = 0;
    std::size_t m_next_peer = 0;
    model::time_point m_slow_work_done{};
    /// Broken attempts not long ago, in case their engine proves lost.
    std::vector<broken_attempt> m_broken;
};

} // namespace caperjunction::decide

#endif
