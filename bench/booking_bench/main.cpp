#include "fleet/claimant.hpp"
#include "fleet/witness.hpp"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace {

using namespace caperjunction;

constexpr model::time_point start{std::chrono::hours(1)};

std::shared_ptr<fleet::claim_view const> make_view(std::size_t count)
{
    model::host_list hosts;
    hosts.revision = 1;
    for (std::size_t index = 0; index < count; ++index) {
        model::host host;
        host.name = fmt::format("host-{}", index);
        host.data_centre = fmt::format("data-centre-{}", index % 3);
        hosts.members.push_back(host);
    }
    return std::make_shared<fleet::claim_view const>(hosts,
                                                     fleet::claim_settings{});
}

fleet::witness make_witness(std::string const& name,
                            std::shared_ptr<fleet::claim_view const> view)
{
    fleet::witness_settings settings;
    settings.host = name;
    settings.generation = 1;
    settings.first_fleet = true;
    fleet::witness witness(settings);
    std::vector<fleet::claim_send> out;
    witness.handle(fleet::claim_view_listed{std::move(view)}, start, out);
    return witness;
}

fleet::claim_key key_of(std::uint64_t number)
{
    return fleet::make_claim_key("customer", fmt::format("key-{}", number));
}

// Runs one booking through its entry host and all five witnesses: claim,
// grants, dispatch and end, in one thread and without a network.
void booking(benchmark::State& state)
{
    auto const view = make_view(static_cast<std::size_t>(state.range(0)));
    std::map<std::string, fleet::witness> witnesses;
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        auto const name = fmt::format("host-{}", index);
        witnesses.emplace(name, make_witness(name, view));
    }
    fleet::claimant claimant("host-0", 1, {});
    std::vector<fleet::claim_decision> out;
    claimant.handle(fleet::claim_view_listed{view}, start, out);
    std::uint64_t number = 0;
    for (auto _ : state) {
        auto const key = key_of(++number);
        // At ten bookings per second, claims expire while new ones arrive.
        auto const now = start + std::chrono::milliseconds(100 * number);
        fleet::claim_view_confirmed const confirmed{now};
        claimant.handle(confirmed, now, out);
        out.clear();
        claimant.handle(fleet::claim_started{key, 1, number}, now, out);
        for (std::size_t index = 0; index < out.size(); ++index) {
            auto const* send = std::get_if<fleet::claim_send>(&out[index]);
            if (send == nullptr) {
                claimant.begin_dispatch(key, now);
                claimant.handle(
                    fleet::claim_ended{key, model::outcome::ran}, now, out);
                continue;
            }
            auto const to = send->to;
            fleet::claim_received const event{"host-0", send->message};
            auto& witness = witnesses.at(to);
            std::vector<fleet::claim_send> replies;
            witness.handle(confirmed, now, replies);
            witness.handle(event, now, replies);
            for (auto const& reply : replies) {
                claimant.handle(
                    fleet::claim_received{to, reply.message}, now, out);
            }
        }
    }
    state.counters["claims"] =
        static_cast<double>(witnesses.at(view->witnesses(0).front()).claims());
}

BENCHMARK(booking)->Arg(7)->Arg(28)->Arg(400);

// Measures the cost of a host list change on each host.
void new_list(benchmark::State& state)
{
    for (auto _ : state) {
        benchmark::DoNotOptimize(
            make_view(static_cast<std::size_t>(state.range(0))));
    }
}

BENCHMARK(new_list)->Arg(7)->Arg(28)->Arg(400)->Unit(benchmark::kMillisecond);

std::size_t resident_bytes()
{
    constexpr std::size_t s_page_bytes = 4096;
    std::size_t pages = 0;
    std::size_t resident = 0;
    std::ifstream("/proc/self/statm") >> pages >> resident;
    return resident * s_page_bytes;
}

// Measures the memory of one witness that stores the maximum number of claims.
void claim_memory(benchmark::State& state)
{
    auto const view = make_view(5);
    double bytes = 0.0;
    std::size_t claims = 0;
    for (auto _ : state) {
        auto witness = make_witness("host-0", view);
        std::vector<fleet::claim_send> out;
        witness.handle(fleet::claim_view_confirmed{start}, start, out);
        auto const before = resident_bytes();
        for (std::int64_t number = 0; number < state.range(0); ++number) {
            fleet::claim_request request;
            request.key = key_of(static_cast<std::uint64_t>(number));
            request.attempt = {"host-1", 1, 1};
            witness.handle(
                fleet::claim_received{"host-1", request}, start, out);
            out.clear();
        }
        claims = witness.claims();
        bytes = static_cast<double>(resident_bytes() - before);
    }
    state.counters["claims"] = static_cast<double>(claims);
    state.counters["bytes_per_claim"] = bytes / static_cast<double>(claims);
}

BENCHMARK(claim_memory)
    ->Arg(300'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
