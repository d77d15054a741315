#include "decide/fair_queue.hpp"

#include <doctest/doctest.h>

#include <deque>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::decide;

namespace {

/// An engine that serves one request after the other, for which the highest
/// tier always waits, and the lower tier if a test lets it.
class saturated_engine
{
public:
    static constexpr double tokens_per_second = 1'000.0;
    static constexpr std::uint32_t expected_output = 199;

    saturated_engine()
    {
        queue.set_shares({0.5, share});
    }

    void add(index tier)
    {
        entry& added = m_entries.emplace_back();
        added.id = {m_entries.size()};
        added.tier = tier;
        added.team = tier;
        added.expected_output = expected_output;
        queue.push(added, m_remote_tokens);
    }

    /// Serves for `span`. Answers of the lower tier have `lower_length` times
    /// the expected length.
    void run(model::seconds span, bool lower_waits, double lower_length = 1.0)
    {
        model::time_point const end =
            m_now + std::chrono::duration_cast<model::milliseconds>(span);
        while (m_now < end) {
            while (queue.size(0) < 2) {
                add(0);
            }
            while (lower_waits && queue.size(1) < 2) {
                add(1);
            }
            serve(lower_length);
        }
    }

    /// The lower tier alone is served, as when no other tier has requests.
    void run_lower_alone(model::seconds span)
    {
        model::time_point const end =
            m_now + std::chrono::duration_cast<model::milliseconds>(span);
        while (m_now < end) {
            add(1);
            serve(1.0);
        }
    }

    /// Part of the delivered tokens that the lower tier got since the last
    /// call.
    double lower_part()
    {
        double const part = delivered[1] / (delivered[0] + delivered[1]);
        delivered = {0.0, 0.0};
        return part;
    }

    static constexpr double share = 0.2;
    fair_queue queue;
    std::vector<double> delivered{0.0, 0.0};

private:
    struct adjustment
    {
        model::time_point due{};
        double tokens = 0.0;
    };

    void serve(double lower_length)
    {
        entry& served = *queue.dispatch_order(m_remote_tokens)[0];
        queue.remove(served);
        double const charged = token_cost(served);
        queue.record_served(served, charged, m_now);
        double const got = served.tier == 1 ? charged * lower_length : charged;
        delivered[served.tier] += got;
        m_now += std::chrono::duration_cast<model::milliseconds>(
            model::seconds(got / tokens_per_second));
        if (got != charged) {
            m_adjustments.push_back({m_now + answer_time, got - charged});
        }
        while (!m_adjustments.empty() && m_adjustments.front().due <= m_now) {
            queue.adjust_charge(1, 1, m_adjustments.front().tokens);
            m_adjustments.pop_front();
        }
    }

    static constexpr model::milliseconds answer_time{10'000};
    model::time_point m_now{std::chrono::hours{1}};
    std::deque<entry> m_entries;
    std::deque<adjustment> m_adjustments;
    std::vector<double> m_remote_tokens = std::vector<double>(2, 0.0);
};

} // namespace

// Answers of the lower tier are half as long as expected. The tier got 0.14 of
// all tokens in place of its 0.2, since it paid for tokens that no caller got.
TEST_CASE("a tier whose answers are shorter than expected gets its share")
{
    saturated_engine engine;
    engine.run(model::seconds{600}, true, 0.5);
    engine.lower_part();
    engine.run(model::seconds{300}, true, 0.5);
    double const part = engine.lower_part();
    CHECK(part >= saturated_engine::share);
    CHECK(part <= 1.05 * saturated_engine::share);
    CHECK(engine.queue.account(1).expired_credit == 0.0);
    CHECK(engine.queue.account(1).adjusted < 0.0);
}

TEST_CASE("a tier whose answers are longer than expected gets its share only")
{
    saturated_engine engine;
    engine.run(model::seconds{600}, true, 2.0);
    engine.lower_part();
    engine.run(model::seconds{300}, true, 2.0);
    double const part = engine.lower_part();
    CHECK(part >= 0.95 * saturated_engine::share);
    CHECK(part <= 1.05 * saturated_engine::share);
}

// Requests of the lower tier are refused between two of its turns, so that for
// some seconds none waits here. What its share yields meanwhile was lost.
TEST_CASE("a tier gets its share although none of it waits for some seconds")
{
    saturated_engine engine;
    for (int round = 0; round < 30; ++round) {
        engine.run(model::seconds{6}, false);
        engine.run(model::seconds{4}, true);
    }
    double const part = engine.lower_part();
    CHECK(part >= 0.95 * saturated_engine::share);
    CHECK(part <= 1.05 * saturated_engine::share);
}

// The lower tier used idle capacity before the higher one came. With a part of
// that remitted as time passed, it had a quarter more than its share of the
// window in which the higher tier was refused.
TEST_CASE("a tier that has used idle capacity waits until it is even")
{
    saturated_engine engine;
    engine.run(model::seconds{60}, true);
    engine.run_lower_alone(model::seconds{2});
    engine.lower_part();
    engine.run(model::seconds{8}, true);
    CHECK(engine.lower_part() <= 0.05);
    engine.run(model::seconds{60}, true);
    CHECK(engine.lower_part() >= 0.95 * saturated_engine::share);
}

TEST_CASE("a tier that had all capacity for a minute waits one window at most")
{
    saturated_engine engine;
    engine.run_lower_alone(model::seconds{60});
    engine.run(model::seconds{22}, true);
    engine.lower_part();
    engine.run(model::seconds{60}, true);
    CHECK(engine.lower_part() >= 0.95 * saturated_engine::share);
    CHECK(engine.queue.account(1).remitted_debt > 0.0);
}

// A tier returns after a minute without requests. The higher tiers wait no
// longer than a third of its share of one window takes.
TEST_CASE("a tier that returns from idle gets little more than its share")
{
    saturated_engine engine;
    engine.run(model::seconds{60}, false);
    engine.lower_part();
    engine.run(model::seconds{20}, true);
    CHECK(engine.lower_part() <= 1.4 * saturated_engine::share);
    CHECK(engine.queue.account(1).expired_credit > 0.0);
}
