#ifndef CAPERJUNCTION_TESTS_DECIDE_HISTORY_HPP
#define CAPERJUNCTION_TESTS_DECIDE_HISTORY_HPP

#include "tests/decide/support.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace caperjunction::tests {

/// A random but consistent sequence of events for one router. Records each
/// decision that violates a guarantee to callers.
class history
{
public:
    explicit history(std::uint64_t seed);

    /// Generates `count` random events.
    void run(std::size_t count);

    /// Ends all running attempts and lets the maximum waits expire.
    void finish_all();

    /// Empty if every guarantee held.
    std::vector<std::string> const& violations() const
    {
        return m_violations;
    }

    std::vector<decide::decision> const& decisions() const
    {
        return m_fixture.decisions;
    }

private:
    enum class stage_kind : std::uint8_t
    {
        waiting,
        running,
        handed_over,
        done,
    };

    struct tracked_request
    {
        decide::request data;
        stage_kind stage = stage_kind::waiting;
        std::string upstream;
        std::uint32_t relayed = 0;
        std::uint32_t dispatches = 0;
        bool may_have_run = false;
    };

    void step();
    void add_request();
    void relay_tokens();
    void end_random_attempt();
    void end_attempt(tracked_request& request, decide::attempt_end end);
    void cancel_request();
    void lose_engine();
    void receive_digest();
    void change_upstreams();
    void report_load();
    void handle(decide::event const& input);
    void check_decision(decide::decision const& decision);
    void check_dispatch(decide::dispatch const& sent);
    void check_order(tracked_request const& sent);
    void check_refusal(decide::refuse const& refused);
    tracked_request* pick_request(stage_kind stage);
    bool has_unfinished() const;
    void expect(bool holds, std::string const& guarantee);
    std::uint64_t random_below(std::uint64_t limit);

    std::mt19937_64 m_random;
    router_fixture m_fixture;
    decide::router m_peer{{"host-2", "west", "west-a", 2}};
    std::map<std::uint64_t, tracked_request> m_requests;
    std::uint64_t m_next_id = 1;
    std::vector<std::string> m_violations;
};

} // namespace caperjunction::tests

#endif
