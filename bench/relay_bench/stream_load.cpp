#include "bench/relay_bench/stream_load.hpp"

#include "net/upstream_client.hpp"
#include "stand_ins/site_lists.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <memory>

namespace caperjunction::relay_bench {
namespace {

using clock = std::chrono::steady_clock;

/// State of a running stream.
struct client_stream
{
    clock::time_point started;
    bool has_first_byte = false;
    /// Bytes after the last complete event.
    std::string unparsed;
    std::uint64_t next_token = 0;
};

/// Extracts the token numbers from the texts of the stand-in: "t17-...".
void count_tokens(client_stream& stream,
                  std::string_view bytes,
                  load_result& result)
{
    constexpr std::string_view prefix = "\"content\":\"t";
    stream.unparsed.append(bytes);
    std::size_t start = 0;
    for (std::size_t end = stream.unparsed.find("\n\n", start);
         end != std::string::npos;
         end = stream.unparsed.find("\n\n", start)) {
        std::size_t const found = stream.unparsed.find(prefix, start);
        if (found < end) {
            std::uint64_t const number = std::strtoull(
                &stream.unparsed[found + prefix.size()], nullptr, 10);
            result.lost +=
                number > stream.next_token ? number - stream.next_token : 0;
            result.duplicated += number < stream.next_token ? 1 : 0;
            stream.next_token = std::max(stream.next_token, number + 1);
            ++result.events;
        }
        start = end + 2;
    }
    stream.unparsed.erase(0, start);
}

class load_generator
{
public:
    load_generator(runtime::event_loop& loop, load_plan const& plan)
        : m_loop(loop)
        , m_plan(plan)
        , m_client(loop, long_timeouts())
    {
    }

    load_result run()
    {
        using std::chrono::duration_cast;
        for (std::size_t index = 0; index < m_plan.streams; ++index) {
            m_loop.after(
                duration_cast<model::milliseconds>(index * m_plan.stagger),
                [this] {
                    start();
                });
        }
        m_loop.run();
        return m_result;
    }

private:
    static net::upstream_timeouts long_timeouts()
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
        auto const stream = std::make_shared<client_stream>();
        stream->started = clock::now();
        m_client.start(call,
                       {[](net::call_head const& /*head*/) {},
                        [this, stream](std::string_view bytes) {
                            handle_bytes(*stream, bytes);
                        },
                        [this, stream](net::call_end end) {
                            finish(*stream, end);
                        }});
    }

    void handle_bytes(client_stream& stream, std::string_view bytes)
    {
        if (!stream.has_first_byte) {
            stream.has_first_byte = true;
            std::chrono::duration<double, std::milli> const wait =
                clock::now() - stream.started;
            m_result.first_byte_ms.push_back(wait.count());
        }
        count_tokens(stream, bytes, m_result);
    }

    void finish(client_stream const& stream, net::call_end end)
    {
        auto const expected = static_cast<std::uint64_t>(m_plan.tokens);
        bool const is_complete =
            end == net::call_end::complete && stream.next_token == expected;
        m_result.failed += is_complete ? 0 : 1;
        m_result.lost += expected - std::min(expected, stream.next_token);
        ++m_ended;
        if (m_ended >= m_plan.total) {
            m_loop.stop();
        } else {
            start();
        }
    }

    runtime::event_loop& m_loop;
    load_plan m_plan;
    net::upstream_client m_client;
    load_result m_result;
    std::size_t m_started = 0;
    std::size_t m_ended = 0;
};

} // namespace

load_result run_load(runtime::event_loop& loop, load_plan const& plan)
{
    return load_generator(loop, plan).run();
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    auto const index = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

} // namespace caperjunction::relay_bench
