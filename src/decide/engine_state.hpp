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

/// Whether an engine receives new requests.
enum class engine_health : std::uint8_t
{
    good,
    /// Slow compared with its peers; receives no requests until `probe_at`.
    ejected,
    /// The process is gone; receives no requests until `probe_at`.
    lost,
    /// Receives a few requests to test whether it has recovered.
    probing,
    /// No longer listed, or marked as leaving.
    leaving,
};

/// This host's view of one engine's load and speed.
///
/// The concurrency limit adapts to the measured gap between tokens, compared
/// with the tightest target in use. Without it, a burst sends an engine more
/// requests than it can decode in time: all of them become late, and requests
/// queued inside the engine cannot be reordered.
///
/// Thread safety: none; owned by one task.
class engine_state
{
public:
    explicit engine_state(std::string engine_name);

    /// Applies the platform's listing; keeps the measured state.
    void update_listing(model::engine const& listed, bool in_own_region);

    void record_dispatch(model::request_id id,
                         double prefill_tokens,
                         model::time_point now);

    void record_first_token(double prefill_tokens);

    /// Records one gap between tokens and adapts the concurrency limit.
    void record_token_gap(model::seconds gap,
                          model::milliseconds tightest_target,
                          model::time_point now);

    /// \pre `record_dispatch` was called for this id, `record_end` was not.
    void record_end(model::request_id id,
                    double pending_prefill,
                    model::time_point now);

    void apply_report(engine_report const& report);

    /// Estimated number of requests of all hosts on this engine.
    double outstanding(model::time_point now) const;

    /// Maximum of `outstanding`, in requests; 0 if it accepts no work.
    double concurrency_limit() const;

    /// Whether this host may send one more probe request.
    bool accepts_probe() const;

    /// Predicted time from dispatch to first token, without the link delay.
    /// `prefill_rate` is in tokens per second.
    model::milliseconds predict_first_token(double uncached_tokens,
                                            double prefill_rate,
                                            model::time_point now) const;

    std::string name;
    std::vector<index> groups;
    bool own_region = true;
    std::uint32_t slots = 0;
    /// Number of its software version in the engine table.
    index software = no_index;
    engine_health health = engine_health::good;
    model::time_point probe_at{};
    /// Duration of the latest ejection; doubles on each further failure.
    model::milliseconds penalty{0};
    /// Requests of other hosts on this engine, from their digests.
    std::uint32_t peer_requests = 0;
    /// Rank by name among the engines of its model in this region, and the
    /// number of these engines.
    std::uint32_t rank = 0;
    std::uint32_t peer_count = 1;
    /// Fraction of this engine that is assigned to this host, 0..1.
    double owned_share = 1.0;
    /// Lower-tier requests that this host may still send before its share of
    /// the free capacity is computed again.
    double allowance = 1.0;
    model::time_point allowance_renewed{};
    /// Suspects running on this engine, from this host and from others.
    std::uint32_t suspects = 0;
    std::uint32_t peer_suspects = 0;
    /// Confidence in the known state of its prefix cache, 0..1.
    double cache_trust = 1.0;
    std::uint64_t cache_sequence = 0;
    moving_average gap_ms{0.05};
    /// Start of the current slow period; zero if the engine is not slow.
    model::time_point slow_since{};
    /// Successful answers since probing began.
    std::uint32_t good_probes = 0;
    std::vector<model::request_id> in_flight;

    std::uint32_t local_count() const
    {
        return static_cast<std::uint32_t>(in_flight.size());
    }

    /// Fraction of KV memory in use in the latest report; 0 without reports.
    double kv_used() const
    {
        return m_kv_used;
    }

    /// Prompt tokens sent by this host that wait for prefill.
    double local_prefill() const
    {
        return m_pending_prefill;
    }

    /// Adds prefill tokens of a peer's digest, or subtracts them if negative.
    void add_peer_prefill(double tokens, model::time_point now);

    /// Pending prefill tokens of all hosts; `rate` is in tokens per second.
    double pending_prefill(double rate, model::time_point now) const;

private:
    struct load_sample
    {
        model::time_point at{};
        std::uint32_t local_count = 0;
    };

    void record_history(model::time_point now);
    std::uint32_t local_count_at(model::time_point measured_at) const;
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
