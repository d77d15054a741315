#include "program/bookings.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <variant>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

/// Hosts whose messages are delivered when a test says so, on a clock that a
/// test advances.
class booking_hosts
{
public:
    booking_hosts()
    {
        model::host_list list;
        list.revision = 1;
        for (int number = 0; number < 5; ++number) {
            model::host listed;
            listed.name = "host-" + std::to_string(number);
            listed.data_centre = "west-" + std::to_string(number);
            list.members.push_back(listed);
            add(listed.name);
        }
        for (auto const& [name, host] : m_hosts) {
            host->set_hosts(list, now);
            host->confirm_hosts(now, now);
        }
        deliver();
    }

    program::bookings& host(std::string const& name)
    {
        return *m_hosts.at(name);
    }

    /// A caller books at a host. Returns the id of its request.
    model::request_id book(std::string const& name)
    {
        net::booking_arrived arrived;
        arrived.request.id = {++m_last_id};
        arrived.request.customer = "shop";
        arrived.request.fingerprint = 7;
        arrived.idempotency_key = "order-1";
        host(name).start(arrived, now);
        deliver();
        return arrived.request.id;
    }

    void deliver()
    {
        while (!m_messages.empty()) {
            sent const next = m_messages.front();
            m_messages.pop_front();
            host(next.to).receive(next.from, next.message, now);
        }
    }

    model::time_point now{std::chrono::hours{1}};
    std::map<std::string, int> admitted;
    std::map<std::string, std::deque<net::relay_message>> answers;

private:
    struct sent
    {
        std::string from;
        std::string to;
        fleet::claim_message message;
    };

    void add(std::string const& name)
    {
        program::booking_settings settings;
        settings.host = name;
        settings.generation = 1;
        settings.first_fleet = true;
        program::booking_hooks hooks;
        hooks.send = [this, name](std::string const& to,
                                  fleet::claim_message const& message) {
            m_messages.push_back({name, to, message});
        };
        hooks.admit = [this, name](decide::request const&) {
            ++admitted[name];
        };
        hooks.answer = [this, name](net::relay_message const& answer) {
            answers[name].push_back(answer);
        };
        m_hosts[name] = std::make_unique<program::bookings>(settings, hooks);
    }

    std::map<std::string, std::unique_ptr<program::bookings>> m_hosts;
    std::deque<sent> m_messages;
    std::uint64_t m_last_id = 0;
};

std::string outcome_of(net::relay_message const& answer)
{
    if (auto const* again = std::get_if<net::replay_answer>(&answer)) {
        return again->body;
    }
    auto const* decided = std::get_if<decide::decision>(&answer);
    auto const* refused =
        decided == nullptr ? nullptr : std::get_if<decide::refuse>(decided);
    return refused == nullptr ? ""
                              : std::string(model::to_string(refused->outcome));
}

/// A booking that has run and whose caller has its answer, while the witnesses
/// have not learned that it is done.
model::request_id book_and_answer(booking_hosts& hosts)
{
    auto const id = hosts.book("host-0");
    REQUIRE(hosts.admitted["host-0"] == 1);
    REQUIRE(hosts.host("host-0").begin_dispatch(id, hosts.now));
    hosts.host("host-0").keep_answer({id, 200, "application/json", "booked"},
                                     hosts.now);
    return id;
}

} // namespace

// The caller of a booking has its answer and sends the booking again before the
// witnesses have learned that it is done. It was told 503, outcome unknown.
TEST_CASE("a booking resent right after its answer gets the same answer")
{
    booking_hosts hosts;
    auto const first = book_and_answer(hosts);
    for (std::string const name : {"host-1", "host-0"}) {
        hosts.book(name);
        REQUIRE(hosts.answers[name].size() == 1);
        CHECK(outcome_of(hosts.answers[name].front()) == "booked");
    }
    hosts.host("host-0").end(first, model::outcome::ran, hosts.now);
    hosts.deliver();
    hosts.book("host-2");
    REQUIRE(hosts.answers["host-2"].size() == 1);
    CHECK(outcome_of(hosts.answers["host-2"].front()) == "booked");
    CHECK(hosts.admitted.size() == 1);
}

TEST_CASE("a booking resent while it runs is unknown at once")
{
    booking_hosts hosts;
    auto const id = hosts.book("host-0");
    REQUIRE(hosts.host("host-0").begin_dispatch(id, hosts.now));
    hosts.book("host-1");
    REQUIRE(hosts.answers["host-1"].size() == 1);
    CHECK(outcome_of(hosts.answers["host-1"].front()) == "unknown");
    CHECK(hosts.admitted.size() == 1);
}
