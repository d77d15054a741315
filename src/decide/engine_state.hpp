#ifndef CAPERJUNCTION_DECIDE_ENGINE_STATE_HPP
#define CAPERJUNCTION_DECIDE_ENGINE_STATE_HPP

#include "decide/event.hpp"
#include "decide/indices.hpp"
#include "decide/moving_average.hpp"
#include "model/request_id.hpp"
#include "model/time.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::decide {

/// Whether an engine gets new work.
enum class engine_health : std::uint8_t
{
    good,
    /// Slow against its peers; gets none until `probe_at`.
    ejected,
    /// Its process went away; gets none until `probe_at`.
    lost,
    /// Gets a few requests that show whether it has recovered.
    probing,
    /// No longer listed, or about to leave.
    leaving,
};

/// What this host knows of one engine's load and speed.
///
/// The bound on outstanding work is adaptive: it follows the time between
/// tokens that requests have seen, against the tightest target in use. Made
/// for bursts: an engine that is handed more than it can decode in time makes
/// all of its requests late, and what waits inside it can't be reordered.
///
/// Thread safety: none; owned by one task.
class engine_state
{
public:
    explicit engine_state(std::string engine_name);

    /// Takes over what the platform lists; keeps what was learnt.
    void update_listing(model::engine const& listed, bool in_own_region);

    void record_dispatch(model::request_id id,
                         double prefill_tokens,
                         model::time_point now);

    void record_first_token(double prefill_tokens);

    /// Counts one gap between tokens and moves the bound.
    void record_token_gap(model::seconds gap,
                          model::milliseconds tightest_target,
                          model::time_point now);

    /// \pre one `dispatched` of this id has had no `ended`.
    void record_end(model::request_id id,
                    double pending_prefill,
                    model::time_point now);

    void apply_report(engine_report const& report);

    /// Requests on this engine, of all hosts, as well as it can be known.
    double outstanding(model::time_point now) const;

    /// Bound on `outstanding`, in requests.
    double concurrency_limit() const;

    /// Whether this host may send it one more request by way of probing.
    bool accepts_probe() const;

    /// Predicted time from dispatch to first token, without the link.
    /// `prefill_rate` is in tokens per second.
    model::milliseconds predict_first_token(double uncached_tokens,
                                            double prefill_rate,
                                            model::time_point now) const;

    std::string name;
    std::vector<index> groups;
    bool own_region = true;
    std::uint32_t slots = 0;
    engine_health health = engine_health::good;
    model::time_point probe_at{};
    /// Time of the next ejection, doubled while it keeps failing.
    model::milliseconds penalty{0};
    /// Requests of other hosts on it, by their digests.
    std::uint32_t peer_requests = 0;
    /// Place among the engines of its model in this region, and their number.
    std::uint32_t rank = 0;
    std::uint32_t peer_count = 1;
    /// The part of it that falls to this host, 0..1.
    double owned_share = 1.0;
    /// Requests of lower tiers that this host may still send it before its
    /// share of the free room is renewed.
    double allowance = 1.0;
    model::time_point allowance_renewed{};
    /// Suspects of this host and of others that run on it.
    std::uint32_t suspects = 0;
    std::uint32_t peer_suspects = 0;
    /// Trust in what is known of its prefix cache, 0..1.
    double cache_trust = 1.0;
    std::uint64_t cache_sequence = 0;
    moving_average gap_ms{0.05};
    /// Since when it has been slow against its peers; zero if it is not.
    model::time_point slow_since{};
    /// Good answers since it began probing.
    std::uint32_t good_probes = 0;
    std::vector<model::request_id> in_flight;

    std::uint32_t local_count() const
    {
        return static_cast<std::uint32_t>(in_flight.size());
    }

    /// Share of KV memory in use by the latest report; 0 if there is none.
    double kv_used() const
    {
        return m_kv_used;
    }

    /// Prompt tokens of this host that wait there for their first token.
    double local_prefill() const
    {
        return m_pending_prefill;
    }

    /// Adds another host's, or takes them back, as a digest tells them.
    void add_peer_prefill(double tokens, model::time_point now);

    /// Those of all hosts, by what is known; `rate` in tokens per second.
    double pending_prefill(double rate, model::time_point now) const;

private:
    struct load_sample
    {
        model::time_point at{};
        std::uint32_t local_count = 0;
    };

    void record_history(model::time_point now);
    std::uint32_t local_count_at(model::time_point measured) const;
    void increase_limit(model::time_point now);
    void decrease_limit(model::time_point now);

    static constexpr std::size_t history_size = 8;

    double m_concurrency_limit = 0.0;
    double m_pending_prefill = 0.0;
    double m_peer_prefill = 0.0;
    model::time_point m_peer_prefill_updated{};
    model::time_point m_limit_changed{};
    std::array<load_sample, history_size> m_history{};
    std::size_t m_history_end = 0;
    model::time_point m_report_measured_at{};
    double m_reported = 0.0;
    double m_kv_used = 0.0;
    std::uint32_t m_local_count_at_report = 0;
    bool m_has_report = false;
};

} // namespace caperjunction::decide

#endif
