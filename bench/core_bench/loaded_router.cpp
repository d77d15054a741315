#include "bench/core_bench/loaded_router.hpp"

#include <malloc.h>

#include <memory>
#include <utility>

namespace caperjunction::bench {
namespace {

constexpr char const* model_name = "assistant";
constexpr std::uint32_t slots = 32;
constexpr std::uint32_t prompt_tokens = 900;
constexpr std::size_t block_count = 7;
constexpr std::size_t document_count = 64;

double heap_bytes()
{
    struct mallinfo2 const heap = mallinfo2();
    return static_cast<double>(heap.uordblks)
           + static_cast<double>(heap.hblkhd);
}

// Seven tiers, as in the largest planned deployment. The targets are so long
// that nothing is refused while the clock does not advance.
std::shared_ptr<lists::catalogue const> make_catalogue()
{
    constexpr std::uint32_t tiers = 7;
    lists::plan_list plans;
    lists::plan plan;
    plan.name = "plan";
    for (std::uint32_t rank = 0; rank < tiers; ++rank) {
        std::string const name = "tier-" + std::to_string(rank);
        plans.tiers.push_back({name, rank, 0.1});
        lists::service_class made;
        made.name = name;
        made.tier = name;
        made.first_token_target = std::chrono::hours{1};
        made.max_wait = std::chrono::hours{20'000};
        plans.classes.push_back(made);
        plan.classes.push_back(name);
    }
    plans.plans.push_back(plan);
    return std::make_shared<lists::catalogue const>(std::move(plans),
                                                    lists::entitlement_list{});
}

model::upstream_list make_engines(std::size_t count)
{
    model::upstream_list made;
    for (std::size_t index = 0; index < count; ++index) {
        model::engine engine;
        engine.name = "engine-" + std::to_string(index);
        engine.region = "region";
        engine.models = {model_name};
        engine.slots = slots;
        made.engines.push_back(engine);
    }
    return made;
}

} // namespace

loaded_router::loaded_router(load_size size)
    : m_size(size)
    , m_router({"host-1", "region", "data-centre", 1})
    , m_now(model::time_point{} + std::chrono::hours{1})
{
    handle(decide::lists_changed{make_catalogue()});
    model::upstream_list const engines = make_engines(size.engines);
    double const before = heap_bytes();
    handle(decide::upstreams_changed{engines});
    m_engine_bytes = heap_bytes() - before;
    fill();
}

void loaded_router::fill()
{
    // Without a queue, fills a third of the slots; otherwise all of them and
    // then the queue.
    std::size_t const capacity = m_size.engines * slots;
    std::size_t const target = m_size.queued == 0 ? capacity / 3 : capacity;
    while (m_running.size() < target) {
        std::size_t const before = m_running.size();
        add_request();
        if (m_running.size() == before) {
            break;
        }
    }
    double const before = heap_bytes();
    for (std::size_t left = m_size.queued; left > 0; --left) {
        add_request();
    }
    m_queue_bytes = heap_bytes() - before;
    m_dispatches = 0;
}

void loaded_router::add_request()
{
    decide::request made;
    std::uint64_t const number = m_next_id++;
    made.id = {number};
    made.customer = "customer";
    made.team = "team-" + std::to_string(number % m_size.teams);
    made.plan = "plan";
    made.service_class = "tier-" + std::to_string(number % 7);
    made.model = model_name;
    made.prompt_tokens = prompt_tokens;
    made.max_output_tokens = 256;
    made.fingerprint = number;
    std::uint64_t const document = number % document_count;
    for (std::size_t block = 0; block < block_count; ++block) {
        made.prefix_blocks.push_back(document * 1'000'003 + block + 1);
    }
    handle(decide::request_arrived{std::move(made)});
}

void loaded_router::complete_request()
{
    constexpr std::uint64_t stride = 7'919;
    std::size_t const index = m_next_id * stride % m_running.size();
    running_request const ended = m_running[index];
    m_running[index] = std::move(m_running.back());
    m_running.pop_back();
    handle(decide::attempt_ended{
        ended.id, ended.upstream, decide::attempt_end::complete, 100, 0});
}

void loaded_router::tick()
{
    m_now += decide::router::tick_period;
    handle(decide::tick{});
}

std::size_t loaded_router::take_dispatches()
{
    return std::exchange(m_dispatches, 0);
}

void loaded_router::handle(decide::event const& input)
{
    m_out.clear();
    m_router.handle(input, m_now, m_out);
    std::vector<decide::decision> const made = std::move(m_out);
    m_out = {};
    for (decide::decision const& one : made) {
        if (auto const* sent = std::get_if<decide::dispatch>(&one)) {
            ++m_dispatches;
            m_running.push_back({sent->id, sent->upstream});
            std::vector<decide::decision> none;
            m_router.handle(decide::tokens_relayed{sent->id, 1}, m_now, none);
        }
    }
}

} // namespace caperjunction::bench
