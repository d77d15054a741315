#ifndef CAPERJUNCTION_TESTS_DECIDE_SUPPORT_HPP
#define CAPERJUNCTION_TESTS_DECIDE_SUPPORT_HPP

#include "decide/router.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace caperjunction::tests {

/// Three tiers with one class each: counter, desk, office.
inline std::shared_ptr<lists::catalogue const> small_catalogue()
{
    using model::milliseconds;
    lists::plan_list plans;
    plans.tiers = {{"counter", 0, 0.4}, {"desk", 1, 0.2}, {"office", 2, 0.2}};
    plans.classes.resize(3);
    for (std::size_t tier = 0; tier < 3; ++tier) {
        plans.classes[tier].name = plans.tiers[tier].name;
        plans.classes[tier].tier = plans.tiers[tier].name;
    }
    plans.classes[0].max_wait = milliseconds{5'000};
    plans.classes[1].first_token_target = milliseconds{2'000};
    plans.classes[2].first_token_target = milliseconds{8'000};
    plans.plans.push_back({"all", {"counter", "desk", "office"}, {}});
    return std::make_shared<lists::catalogue const>(plans,
                                                    lists::entitlement_list{});
}

/// One router and all of its decisions.
struct router_fixture
{
    router_fixture()
    {
        handle(decide::lists_changed{small_catalogue()});
    }

    void handle(decide::event const& input)
    {
        router.handle(input, now, decisions);
    }

    void add_engines(std::size_t count, std::uint32_t slots)
    {
        for (std::size_t added = 0; added < count; ++added) {
            model::engine engine;
            engine.name =
                "engine-" + std::to_string(upstreams.engines.size() + 1);
            engine.region = "west";
            engine.models = {"draft"};
            engine.slots = slots;
            upstreams.engines.push_back(engine);
        }
        handle(decide::upstreams_changed{upstreams});
        handle(decide::tick{});
    }

    decide::request make_request(std::uint64_t id,
                                 std::string const& service_class)
    {
        decide::request request;
        request.id = {id};
        request.customer = "shop";
        request.team = "team-1";
        request.plan = "all";
        request.service_class = service_class;
        request.model = "draft";
        request.prompt_tokens = 100;
        request.max_output_tokens = 100;
        request.fingerprint = id;
        request.arrived = now;
        return request;
    }

    void send_request(std::uint64_t id,
                      std::string const& service_class,
                      bool repeatable = true)
    {
        decide::request request = make_request(id, service_class);
        request.repeatable = repeatable;
        handle(decide::request_arrived{request});
    }

    void relay_tokens(model::request_id id, std::uint32_t count)
    {
        handle(decide::tokens_relayed{id, count});
    }

    void end_attempt(model::request_id id,
                     std::string const& upstream,
                     decide::attempt_end end,
                     std::uint32_t relayed = 0)
    {
        handle(decide::attempt_ended{id, upstream, end, relayed, 0});
    }

    /// Advances the time in ticks.
    void advance_time(model::milliseconds span)
    {
        model::time_point const until = now + span;
        while (now < until) {
            now += decide::router::tick_period;
            handle(decide::tick{});
        }
    }

    /// All decisions of one type so far.
    template <typename Decision>
    std::vector<Decision> decisions_of() const
    {
        std::vector<Decision> found;
        for (decide::decision const& item : decisions) {
            if (auto const* match = std::get_if<Decision>(&item)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    decide::router router{{"host-1", "west", "west-a", 1}};
    model::time_point now = model::time_point{} + std::chrono::seconds{100};
    model::upstream_list upstreams;
    std::vector<decide::decision> decisions;
};

} // namespace caperjunction::tests

#endif
