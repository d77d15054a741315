#ifndef CAPERJUNCTION_TESTS_DECIDE_HISTORY_HPP
#define CAPERJUNCTION_TESTS_DECIDE_HISTORY_HPP

#include "tests/decide/support.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace caperjunction::tests {

/// A random but consistent history of events for one router, which notes each
/// decision that breaks a promise to callers.
class history
{
public:
    explicit history(std::uint64_t seed);

    /// Makes `count` random events.
    void run(std::size_t count);

    /// Ends what runs and lets all waits pass.
    void settle();

    /// Empty if every promise was kept.
    std::vector<std::string> const& faults() const
    {
        return m_faults;
    }

    std::vector<decide::decision> const& decisions() const
    {
        return m_session.out;
    }

private:
    enum class progress : std::uint8_t
    {
        waiting,
        running,
        handed_over,
        done,
    };

    struct known
    {
        decide::request request;
        progress stage = progress::waiting;
        std::string upstream;
        std::uint32_t relayed = 0;
        std::uint32_t dispatches = 0;
        bool maybe_ran = false;
    };

    void step();
    void arrive();
    void advance();
    void end_one();
    void end(known& one, decide::attempt_end how);
    void cancel();
    void lose_engine();
    void gossip();
    void change_upstreams();
    void report();
    void tell(decide::event const& happened);
    void check(decide::decision const& made);
    void check_dispatch(decide::dispatch const& sent);
    void check_order(known const& sent);
    void check_refusal(decide::refuse const& refused);
    known* pick(progress wanted);
    bool running_at_all() const;
    void expect(bool kept, std::string const& promise);
    std::uint64_t draw(std::uint64_t below);

    std::mt19937_64 m_random;
    session m_session;
    decide::router m_other{{"host-2", "west", "west-a", 2}};
    std::map<std::uint64_t, known> m_known;
    std::uint64_t m_next = 1;
    std::vector<std::string> m_faults;
};

} // namespace caperjunction::tests

#endif
