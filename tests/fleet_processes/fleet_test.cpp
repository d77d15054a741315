#include "stand_ins/process_fleet.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
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

bool is_complete(stand_ins::caller_answer const& answer)
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

// The answer to a booking is lost, and the caller resends the booking through
// another host. It must run once, and the resend must get the same answer.
TEST_CASE("a booking that is resent to every host runs once")
{
    runtime::event_loop loop;
    process_fleet fleet(loop, seven_hosts());
    REQUIRE(fleet.wait_until_joined());
    auto const first = fleet.book(0, "order-1");
    REQUIRE(fleet.wait(first));
    CHECK(first->status == 200);
    for (std::size_t index = 0; index < fleet.hosts(); ++index) {
        auto const resent = fleet.book(index, "order-1");
        REQUIRE(fleet.wait(resent));
        CHECK(resent->status == 200);
        CHECK(resent->body == first->body);
    }
    CHECK(executions(fleet, "order-1") == 1);
}

// A host is killed while a booking that it dispatched is running. The caller's
// connection breaks, and the caller resends the booking to other hosts. The
// booking must not run again.
TEST_CASE("a booking whose host is killed is not run by another host")
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
    for (std::size_t index = 1; index < fleet.hosts(); ++index) {
        auto const resent = fleet.book(index, "order-2");
        REQUIRE(fleet.wait(resent));
        CHECK(outcome_of(*resent) == "unknown");
    }
    fleet.run_for(500ms);
    CHECK(executions(fleet, "order-2") <= 1);
}

// A host is suspended while it handles bookings, and the caller resends them to
// another host. When the host resumes, its state still says that it may run
// them. If it does, the customer is charged twice.
TEST_CASE("a suspended host does not run a booking after another host did")
{
    runtime::event_loop loop;
    process_fleet fleet(loop, seven_hosts());
    REQUIRE(fleet.wait_until_joined());
    std::vector<std::shared_ptr<stand_ins::caller_answer>> pending;
    for (int number = 0; number < 8; ++number) {
        std::string const key = "order-" + std::to_string(100 + number);
        pending.push_back(fleet.book(0, key));
    }
    fleet.host(0).send_signal(SIGSTOP);
    for (int number = 0; number < 8; ++number) {
        std::string const key = "order-" + std::to_string(100 + number);
        auto const resent = fleet.book(1, key);
        REQUIRE(fleet.wait(resent));
        CHECK(outcome_of(*resent) != "");
    }
    fleet.run_for(2'500ms);
    fleet.host(0).send_signal(SIGCONT);
    for (auto const& answer : pending) {
        REQUIRE(fleet.wait(answer));
    }
    for (int number = 0; number < 8; ++number) {
        CHECK(executions(fleet, "order-" + std::to_string(100 + number)) <= 1);
    }
}

// The operators replace all hosts one after another in normal operation. No
// stream may be cut off, and bookings must still succeed.
TEST_CASE("replacing all seven hosts under load cuts off no stream")
{
    runtime::event_loop loop;
    process_fleet fleet(loop, seven_hosts());
    REQUIRE(fleet.wait_until_joined());
    std::vector<std::shared_ptr<stand_ins::caller_answer>> streams;
    for (std::size_t index = 0; index < fleet.hosts(); ++index) {
        streams.push_back(fleet.chat(index, "long", 80));
        fleet.run_for(50ms);
        fleet.host(index).send_signal(SIGTERM);
        fleet.run_for(100ms);
        // The load balancer has not noticed yet and still sends requests.
        streams.push_back(fleet.chat(index, "late", 20));
        REQUIRE(fleet.run_until([&] {
            return fleet.host(index).has_ended();
        }));
        CHECK(fleet.host(index).wait() == 0);
        fleet.start_host(index);
    }
    for (auto const& stream : streams) {
        REQUIRE(fleet.wait(stream));
        CHECK(is_complete(*stream));
    }
    REQUIRE(fleet.wait_until_joined());
    auto const booking = fleet.book(3, "order-3");
    REQUIRE(fleet.wait(booking));
    CHECK(outcome_of(*booking) == "ran");
}

// A virtual machine is suspended, and the steady clock with it. A host that
// goes by that clock alone doesn't notice, and dispatches bookings by claims
// that the others have given up.
TEST_CASE("a host notices that it was suspended although no steady time passed")
{
    runtime::event_loop loop;
    auto options = seven_hosts();
    options.program = PROGRAM_FOLDER "/caperjunction_faulty_clock";
    options.hosts = 2;
    setenv("TEST_CLOCK_FAULT", "suspended", 1);
    setenv("TEST_CLOCK_SOUND_MS", "5000", 1);
    process_fleet fleet(loop, options);
    unsetenv("TEST_CLOCK_FAULT");
    unsetenv("TEST_CLOCK_SOUND_MS");
    REQUIRE(fleet.wait_until_joined());
    for (std::size_t index = 0; index < fleet.hosts(); ++index) {
        CHECK(fleet.run_until([&] {
            return fleet.host(index).output().find("event=view_outdated")
                   != std::string::npos;
        }));
    }
    REQUIRE(fleet.wait_until_joined());
    auto const booked = fleet.book(0, "order-1");
    REQUIRE(fleet.wait(booked));
    CHECK(booked->status == 200);
}

// The time of day may jump ahead: taken for suspended time, it would make a
// host forget claims, and a booking run twice.
TEST_CASE("a host without a clock for suspended time goes by the steady clock")
{
    runtime::event_loop loop;
    auto options = seven_hosts();
    options.program = PROGRAM_FOLDER "/caperjunction_faulty_clock";
    options.hosts = 2;
    setenv("TEST_CLOCK_FAULT", "fails", 1);
    process_fleet fleet(loop, options);
    unsetenv("TEST_CLOCK_FAULT");
    REQUIRE(fleet.wait_until_joined());
    CHECK(fleet.host(0).output().find(" clock=steady") != std::string::npos);
    auto const booked = fleet.book(0, "order-1");
    REQUIRE(fleet.wait(booked));
    CHECK(booked->status == 200);
}
