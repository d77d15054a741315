#include "bench/relay_bench/crowd.hpp"

#include "net/upstream_client.hpp"
#include "stand_ins/site_lists.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <memory>

namespace caperjunction::relay_bench {
namespace {

using clock = std::chrono::steady_clock;

/// One stream, while it runs.
struct one_stream
{
    clock::time_point started;
    bool begun = false;
    /// The bytes since the last whole line.
    std::string rest;
    std::uint64_t next_token = 0;
};

/// Reads the token numbers out of the stand-in's texts: "t17-...".
void count_tokens(one_stream& own, std::string_view bytes, crowd_result& result)
{
    constexpr std::string_view mark = "\"content\":\"t";
    own.rest.append(bytes);
    std::size_t start = 0;
    for (std::size_t end = own.rest.find("\n\n", start);
         end != std::string::npos;
         end = own.rest.find("\n\n", start)) {
        std::size_t const found = own.rest.find(mark, start);
        if (found < end) {
            std::uint64_t const number =
                std::strtoull(&own.rest[found + mark.size()], nullptr, 10);
            result.lost +=
                number > own.next_token ? number - own.next_token : 0;
            result.duplicated += number < own.next_token ? 1 : 0;
            own.next_token = std::max(own.next_token, number + 1);
            ++result.events;
        }
        start = end + 2;
    }
    own.rest.erase(0, start);
}

class crowd
{
public:
    crowd(runtime::event_loop& loop, crowd_plan const& plan)
        : m_loop(loop)
        , m_plan(plan)
        , m_client(loop, patient())
    {
    }

    crowd_result run()
    {
        using std::chrono::duration_cast;
        for (std::size_t place = 0; place < m_plan.streams; ++place) {
            m_loop.after(
                duration_cast<model::milliseconds>(place * m_plan.stagger),
                [this] {
                    start();
                });
        }
        m_loop.run();
        return m_result;
    }

private:
    static net::upstream_timeouts patient()
    {
        net::upstream_timeouts timeouts;
        timeouts.connect = model::milliseconds(10'000);
        timeouts.first_byte = model::milliseconds(60'000);
        timeouts.progress = model::milliseconds(60'000);
        return timeouts;
    }

    net::upstream_call make_call()
    {
        net::upstream_call call;
        call.to = m_plan.to;
        call.path = "/v1/chat/completions";
        call.headers = {{"Authorization", "Bearer " + m_plan.key}};
        call.body = fmt::format(
            R"({{"model":"{}","stream":true,"max_tokens":{},"messages":)"
            R"([{{"role":"user","content":"question {}"}}]}})",
            stand_ins::site_model,
            m_plan.tokens,
            m_started);
        return call;
    }

    void start()
    {
        if (m_started >= m_plan.total) {
            return;
        }
        net::upstream_call const call = make_call();
        ++m_started;
        auto const own = std::make_shared<one_stream>();
        own->started = clock::now();
        m_client.start(call,
                       {[](net::call_head const& /*head*/) {},
                        [this, own](std::string_view bytes) {
                            take(*own, bytes);
                        },
                        [this, own](net::call_end end) {
                            finish(*own, end);
                        }});
    }

    void take(one_stream& own, std::string_view bytes)
    {
        if (!own.begun) {
            own.begun = true;
            std::chrono::duration<double, std::milli> const wait =
                clock::now() - own.started;
            m_result.first_byte_ms.push_back(wait.count());
        }
        count_tokens(own, bytes, m_result);
    }

    void finish(one_stream const& own, net::call_end end)
    {
        auto const wanted = static_cast<std::uint64_t>(m_plan.tokens);
        bool const sound =
            end == net::call_end::complete && own.next_token == wanted;
        m_result.failed += sound ? 0 : 1;
        m_result.lost += wanted - std::min(wanted, own.next_token);
        ++m_ended;
        if (m_ended >= m_plan.total) {
            m_loop.stop();
        } else {
            start();
        }
    }

    runtime::event_loop& m_loop;
    crowd_plan m_plan;
    net::upstream_client m_client;
    crowd_result m_result;
    std::size_t m_started = 0;
    std::size_t m_ended = 0;
};

} // namespace

crowd_result run_crowd(runtime::event_loop& loop, crowd_plan const& plan)
{
    return crowd(loop, plan).run();
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    auto const place = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(place),
                     values.end());
    return values[place];
}

} // namespace caperjunction::relay_bench
