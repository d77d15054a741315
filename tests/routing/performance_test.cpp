#include "routing/performance_meter.hpp"
#include "routing/support.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;
using routing::performance_meter;
using routing::upstream_performance;

namespace {

/// Hosts that place urgent streams on the same engines and exchange their
/// measurements. One engine is five times slower than the others.
class slow_engine_load
{
public:
    bool uses_measurements = true;
    bool shares_measurements = true;
    int with_gaps = 0;
    int without_gaps = 0;

    slow_engine_load()
    {
        for (int number = 0; number < hosts; ++number) {
            auto result = std::make_unique<host>();
            for (int id = 0; id < engines; ++id) {
                result->directory.put(engine("e" + std::to_string(id)));
            }
            m_hosts.push_back(std::move(result));
        }
        m_chat.latency_target = 500ms;
        m_chat.max_event_gap = 200ms;
        m_slow =
            m_hosts[0]->directory.reservation_order("llm")[0]->description.id;
    }

    void run()
    {
        constexpr model::milliseconds length{6'000};
        constexpr model::milliseconds step{50};
        constexpr int steps_between_digests = 4;
        for (int number = 0; number * step < length; ++number) {
            m_now = start + number * step;
            if (number % steps_between_digests == 0) {
                exchange();
            }
            place();
            stream();
        }
    }

private:
    static constexpr int hosts = 8;
    static constexpr int engines = 9;
    static constexpr model::milliseconds normal_gap{60};
    static constexpr model::milliseconds slow_gap{300};
    static constexpr model::milliseconds stream_duration{1'500};

    struct host
    {
        routing::upstream_directory directory{locate};
        routing::picker picker{directory};
    };

    struct running_stream
    {
        routing::upstream_ptr at;
        model::time_point ends{};
    };

    void exchange()
    {
        for (auto const& to : m_hosts) {
            to->directory.each([&](routing::upstream_state& state) {
                state.others = {};
                state.others_performance = {};
                for (auto const& from : m_hosts) {
                    auto const sender =
                        from->directory.find(state.description.id);
                    if (from == to) {
                        continue;
                    }
                    state.others.add(sender->own);
                    if (shares_measurements) {
                        state.others_performance.merge(
                            sender->own_performance.performance(m_now));
                    }
                }
            });
        }
    }

    void place()
    {
        ++m_count;
        host& placing = *m_hosts[m_count % hosts];
        routing::prompt prompt;
        prompt.parts = {{100 + m_count * 7 % 40, 350}, {m_count, 1'100}};
        prompt.tokens = 1'450;
        routing::pick_request request;
        request.route = &m_chat;
        request.prompt = &prompt;
        request.service = "llm";
        request.is_most_urgent = true;
        auto const chosen = placing.picker.choose(request, m_now);
        chosen.to->own.running += 1;
        chosen.to->own.urgent += 1;
        (chosen.to->description.id == m_slow ? with_gaps : without_gaps) += 1;
        m_streams.push_back({chosen.to, m_now + stream_duration});
    }

    void stream()
    {
        for (running_stream const& item : m_streams) {
            bool const is_slow = item.at->description.id == m_slow;
            if (uses_measurements) {
                item.at->own_performance.record_gap(
                    is_slow ? slow_gap : normal_gap, m_now);
            }
            if (item.ends <= m_now) {
                item.at->own.running -= 1;
                item.at->own.urgent -= 1;
            }
        }
        std::erase_if(m_streams, [this](running_stream const& item) {
            return item.ends <= m_now;
        });
    }

    std::vector<std::unique_ptr<host>> m_hosts;
    std::vector<running_stream> m_streams;
    std::string m_slow;
    routing::route m_chat =
        make_route("/chat/", routing::request_kind::stream, 0);
    model::time_point m_now = start;
    std::uint64_t m_count = 0;
};

} // namespace

TEST_CASE("late first events indicate a slow engine until it recovers")
{
    performance_meter meter;
    CHECK(meter.performance(start).observers == 0);
    for (int number = 0; number < 10; ++number) {
        meter.end(meter.begin(start, 100ms), start + 400ms);
    }
    CHECK(meter.performance(start + 1s).slowdown > 3.5);
    for (int number = 0; number < 10; ++number) {
        meter.end(meter.begin(start + 1s, 100ms), start + 1'100ms);
    }
    CHECK(meter.performance(start + 1s).slowdown < 1.3);
}

// An engine slows down while prompts wait there. No event arrives until the
// first of them has been read, and further requests would join the queue.
TEST_CASE("a request that waits far beyond its forecast indicates a slowdown")
{
    performance_meter meter;
    auto const waiting = meter.begin(start, 300ms);
    CHECK(meter.performance(start + 400ms).observers == 0);
    CHECK(meter.performance(start + 1'500ms).slowdown == doctest::Approx(5.0));
    meter.drop(waiting);
    CHECK(meter.performance(start + 1'500ms).observers == 0);
}

TEST_CASE("old measurements expire")
{
    performance_meter meter;
    meter.end(meter.begin(start, 100ms), start + 800ms);
    meter.record_gap(700ms, start);
    CHECK(meter.performance(start + 1s).observers == 1);
    CHECK(meter.performance(start + 1s).longest_gap == 350ms);
    CHECK(meter.performance(start + 10s).observers == 0);
    CHECK(meter.performance(start + 10s).longest_gap < 2ms);
}

TEST_CASE("slowdowns of hosts are averaged, and the longest gap is kept")
{
    upstream_performance all{2.0, 1, 50ms};
    all.merge({4.0, 1, 200ms});
    CHECK(all.slowdown == doctest::Approx(3.0));
    CHECK(all.longest_gap == 200ms);
    all.merge({9.0, 0, 0ms});
    CHECK(all.slowdown == doctest::Approx(3.0));
    upstream_performance none;
    none.merge(all);
    CHECK(none.slowdown == doctest::Approx(3.0));
}

// One of the engines reserved for urgent streams becomes five times slower. Its
// first events still arrive in time, and each host has only an eighth of the
// streams: the measurements of one host must redirect new streams of all hosts.
TEST_CASE("hosts that share measurements keep streams off a slow engine")
{
    slow_engine_load blind;
    blind.uses_measurements = false;
    blind.run();
    slow_engine_load alone;
    alone.shares_measurements = false;
    alone.run();
    slow_engine_load shared;
    shared.run();
    CAPTURE(blind.with_gaps);
    CAPTURE(alone.with_gaps);
    CAPTURE(shared.with_gaps);
    CHECK(blind.with_gaps >= 40);
    CHECK(alone.with_gaps <= blind.with_gaps / 2);
    CHECK(shared.with_gaps <= alone.with_gaps / 2);
}
