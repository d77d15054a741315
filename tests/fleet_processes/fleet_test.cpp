#include "stand_ins/process_fleet.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <map>

using namespace caperjunction;
using namespace std::chrono_literals;
using stand_ins::process_fleet;
using stand_ins::process_fleet_options;

namespace {

constexpr char const* program = PROGRAM_FOLDER "/caperjunction";

process_fleet_options seven_hosts()
{
    process_fleet_options options;
    options.program = program;
    options.hosts = 7;
    options.engines = 3;
    options.engine.first_token_delay = 5ms;
    options.engine.tokens_per_second = 100.0;
    options.flags = {"--drain_delay=300ms"};
    return options;
}

std::uint64_t executions(process_fleet const& fleet, std::string const& key)
{
    auto const& all = fleet.service->executions();
    auto const found = all.find(key);
    return found == all.end() ? 0 : found->second;
}

bool is_whole(stand_ins::caller_answer const& answer)
{
    return answer.status == 200
           && answer.body.find("data: [DONE]") != std::string::npos;
}

std::string outcome_of(stand_ins::caller_answer const& answer)
{
    auto const body = nlohmann::json::parse(answer.body, nullptr, false);
    if (body.is_object() && body.contains("error")) {
        return body["error"].value("outcome", "");
    }
    return answer.status == 200 ? "ran" : "";
}

} // namespace

// A shop's reply is lost on its way, and the shop sends the booking again,
// by way of another host. It must be charged once, and be told so.
TEST_CASE("a booking that is resent to every host runs once")
{
    runtime::event_loop loop;
    process_fleet fleet(loop, seven_hosts());
    REQUIRE(fleet.wait_until_joined());
    auto const first = fleet.book(0, "order-1");
    REQUIRE(fleet.wait(first));
    CHECK(first->status == 200);
    for (std::size_t place = 0; place < fleet.hosts(); ++place) {
        auto const again = fleet.book(place, "order-1");
        REQUIRE(fleet.wait(again));
        CHECK(again->status == 200);
        CHECK(again->body == first->body);
    }
    CHECK(executions(fleet, "order-1") == 1);
}

// A host is killed while a booking that it dispatched is running. The shop
// sees its connection break and sends the booking again elsewhere; whatever
// it is told there, the booking must not run a second time.
TEST_CASE("a booking whose host is killed is not run by another")
{
    runtime::event_loop loop;
    auto options = seven_hosts();
    options.service.delay = 300ms;
    process_fleet fleet(loop, options);
    REQUIRE(fleet.wait_until_joined());
    auto const first = fleet.book(0, "order-2");
    fleet.run_for(100ms);
    fleet.host(0).send_signal(SIGKILL);
    REQUIRE(fleet.wait(first));
    CHECK(first->end == net::call_end::broken);
    for (std::size_t place = 1; place < fleet.hosts(); ++place) {
        auto const again = fleet.book(place, "order-2");
        REQUIRE(fleet.wait(again));
        CHECK(outcome_of(*again) == "unknown");
    }
    fleet.run_for(500ms);
    CHECK(executions(fleet, "order-2") <= 1);
}

// A host is frozen with a booking in its hands, and the shop sends it again
// elsewhere. When the host wakes it still believes that the booking is its
// own to run; acting on that would charge the client twice.
TEST_CASE("a host that sleeps with a booking does not run it after another")
{
    runtime::event_loop loop;
    process_fleet fleet(loop, seven_hosts());
    REQUIRE(fleet.wait_until_joined());
    std::vector<std::shared_ptr<stand_ins::caller_answer>> late;
    for (int number = 0; number < 8; ++number) {
        std::string const key = "order-" + std::to_string(100 + number);
        late.push_back(fleet.book(0, key));
    }
    fleet.host(0).send_signal(SIGSTOP);
    for (int number = 0; number < 8; ++number) {
        std::string const key = "order-" + std::to_string(100 + number);
        auto const again = fleet.book(1, key);
        REQUIRE(fleet.wait(again));
        CHECK(outcome_of(*again) != "");
    }
    fleet.run_for(2'500ms);
    fleet.host(0).send_signal(SIGCONT);
    for (auto const& answer : late) {
        REQUIRE(fleet.wait(answer));
    }
    for (int number = 0; number < 8; ++number) {
        CHECK(executions(fleet, "order-" + std::to_string(100 + number)) <= 1);
    }
}

// The operators replace every host, one after another, on an ordinary day.
// Callers must see nothing of it: no stream is cut, and bookings go on.
TEST_CASE("replacing all seven hosts under load cuts nothing off")
{
    runtime::event_loop loop;
    process_fleet fleet(loop, seven_hosts());
    REQUIRE(fleet.wait_until_joined());
    std::vector<std::shared_ptr<stand_ins::caller_answer>> streams;
    for (std::size_t place = 0; place < fleet.hosts(); ++place) {
        streams.push_back(fleet.chat(place, "long", 80));
        fleet.run_for(50ms);
        fleet.host(place).send_signal(SIGTERM);
        fleet.run_for(100ms);
        // The balancer has not noticed yet, and still sends work there.
        streams.push_back(fleet.chat(place, "late", 20));
        REQUIRE(fleet.run_until([&] {
            return fleet.host(place).has_ended();
        }));
        CHECK(fleet.host(place).wait() == 0);
        fleet.start_host(place);
    }
    for (auto const& stream : streams) {
        REQUIRE(fleet.wait(stream));
        CHECK(is_whole(*stream));
    }
    REQUIRE(fleet.wait_until_joined());
    auto const booking = fleet.book(3, "order-3");
    REQUIRE(fleet.wait(booking));
    CHECK(outcome_of(*booking) == "ran");
}
