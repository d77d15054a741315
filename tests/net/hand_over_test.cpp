#include "net/relay.hpp"

#include "lists/parse.hpp"
#include "runtime/event_loop.hpp"
#include "stand_ins/engine.hpp"
#include "stand_ins/run_loop.hpp"
#include "stand_ins/site_lists.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

/// What the deciding task of a host would do, as far as these cases need it.
struct relay_host
{
    std::string name;
    std::unique_ptr<net::relay> relay;
    std::vector<net::relay_report> reports;
};

/// Two relays that pass hand-overs to each other: the first hands all over,
/// the second does what `serve` says.
class two_hosts
{
public:
    two_hosts()
        : m_client(loop, {})
        , engine(loop.base(), engine_settings())
    {
        for (std::size_t place = 0; place < 2; ++place) {
            relay_host& own = m_hosts[place];
            own.name = fmt::format("host-{}", place);
            own.relay = std::make_unique<net::relay>(
                loop, net::relay_settings{}, [this, place](auto& report) {
                    loop.defer([this, place, report] {
                        take(place, report);
                    });
                    return true;
                });
            model::upstream_list listed;
            listed.engines.push_back(
                {"engine-0", "west", "west-a", engine.address(), {}});
            tell(place, net::use_upstreams{listed});
            tell(place, net::use_lists{catalogue()});
        }
    }

    std::string chat(int tokens)
    {
        net::upstream_call call;
        call.to = {"127.0.0.1", m_hosts[0].relay->port()};
        call.path = "/v1/chat/completions";
        call.headers = {
            {"Authorization", std::string("Bearer ") + stand_ins::site_key}};
        call.body =
            fmt::format(R"({{"model":"drafter","stream":true,"max_tokens":{},)"
                        R"("messages":[{{"role":"user","content":"hi"}}]}})",
                        tokens);
        ended = false;
        body.clear();
        m_call = m_client.start(call,
                                {[this](net::call_head const& head) {
                                     status = head.status;
                                 },
                                 [this](std::string_view bytes) {
                                     body.append(bytes);
                                 },
                                 [this](net::call_end /*end*/) {
                                     ended = true;
                                 }});
        run_until([this] {
            return ended;
        });
        return body;
    }

    void hang_up()
    {
        m_client.cancel(m_call);
    }

    bool run_until(std::function<bool()> const& done)
    {
        return stand_ins::run_until(loop, [this, &done] {
            if (on_turn) {
                on_turn();
            }
            return done();
        });
    }

    void tell(std::size_t place, net::relay_message message)
    {
        m_hosts[place].relay->handle(message);
    }

    std::size_t running(std::size_t place) const
    {
        return m_hosts[place].relay->running();
    }

    runtime::event_loop loop;

private:
    net::upstream_client m_client;

public:
    stand_ins::engine engine;
    /// Whether the second host serves what it is given.
    bool serve = true;
    bool ended = false;
    int status = 0;
    std::string body;
    std::vector<decide::hand_over_refused> refused;
    std::function<void()> on_turn;

private:
    static stand_ins::engine_settings engine_settings()
    {
        stand_ins::engine_settings settings;
        settings.first_token_delay = 2ms;
        settings.tokens_per_second = 200.0;
        return settings;
    }

    static std::shared_ptr<lists::catalogue const> catalogue()
    {
        std::vector<lists::fault> faults;
        auto plans =
            lists::parse_plans(stand_ins::site_plans(), "plans", faults);
        auto entitlements = lists::parse_entitlements(
            stand_ins::site_entitlements(), "entitlements", faults);
        return std::make_shared<lists::catalogue const>(
            std::move(plans), std::move(entitlements));
    }

    void take(std::size_t place, net::relay_report const& report)
    {
        std::size_t const other = 1 - place;
        std::string const& name = m_hosts[place].name;
        if (auto const* give = std::get_if<net::hand_over_requested>(&report)) {
            tell(other, net::serve_handed_over{name, give->request});
        } else if (auto const* part =
                       std::get_if<net::hand_over_chunk_ready>(&report)) {
            tell(other, net::receive_chunk{name, part->chunk});
        } else if (auto const* over =
                       std::get_if<net::hand_over_ended>(&report)) {
            tell(other, net::receive_end{name, over->end});
        } else if (auto const* no =
                       std::get_if<net::hand_over_cancelled>(&report)) {
            tell(other, net::cancel_handed_over{name, no->id});
        } else if (auto const* event = std::get_if<decide::event>(&report)) {
            decide_on(place, *event);
        }
    }

    void decide_on(std::size_t place, decide::event const& event)
    {
        auto const* arrived = std::get_if<decide::request_arrived>(&event);
        auto const* no = std::get_if<decide::hand_over_refused>(&event);
        if (arrived != nullptr && place == 0) {
            tell(0,
                 decide::decision(
                     decide::hand_over{arrived->request.id, "host-1", "test"}));
        } else if (arrived != nullptr && serve) {
            CHECK(arrived->request.handed_over);
            decide::dispatch to;
            to.id = arrived->request.id;
            to.upstream = "engine-0";
            tell(1, decide::decision(to));
        } else if (arrived != nullptr) {
            decide::refuse refuse;
            refuse.id = arrived->request.id;
            refuse.reason = "queue_full";
            refuse.remedy = "send it again later";
            tell(1, decide::decision(refuse));
        } else if (no != nullptr) {
            refused.push_back(*no);
            decide::refuse refuse;
            refuse.id = no->id;
            refuse.reason = "queue_full";
            refuse.remedy = "send it again later";
            tell(0, decide::decision(refuse));
        }
    }

    relay_host m_hosts[2];
    net::call_handle m_call;
};

bool is_whole(std::string const& body)
{
    return body.find("data: [DONE]") != std::string::npos;
}

std::size_t tokens_in(std::string const& body)
{
    std::size_t count = 0;
    for (std::size_t place = body.find("\"content\":");
         place != std::string::npos;
         place = body.find("\"content\":", place + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("an answer of another host reaches the caller whole")
{
    two_hosts hosts;
    std::string const body = hosts.chat(30);
    CHECK(hosts.status == 200);
    CHECK(is_whole(body));
    CHECK(tokens_in(body) == 30);
    CHECK(hosts.run_until([&] {
        return hosts.running(0) == 0 && hosts.running(1) == 0;
    }));
}

// The other host was asked because it looked idle, and is not any more. The
// caller must hear from its own host; nothing of its request has run.
TEST_CASE("a hand-over that is refused comes back to its host")
{
    two_hosts hosts;
    hosts.serve = false;
    std::string const body = hosts.chat(30);
    CHECK(hosts.refused.size() == 1);
    CHECK(hosts.status == 429);
    CHECK(body.find("not-run") != std::string::npos);
    CHECK(hosts.running(0) == 0);
    CHECK(hosts.running(1) == 0);
}

// The host that serves dies in mid-answer. The caller has part of it; that
// part must not pass for the whole, and the caller must not wait for ever.
TEST_CASE("the loss of the serving host ends the answer with an error")
{
    two_hosts hosts;
    bool lost = false;
    hosts.on_turn = [&] {
        if (!lost && tokens_in(hosts.body) >= 5) {
            lost = true;
            hosts.tell(0, net::drop_host{"host-1"});
        }
    };
    std::string const body = hosts.chat(200);
    CHECK(lost);
    CHECK(hosts.ended);
    CHECK_FALSE(is_whole(body));
    CHECK(body.find("serving_host_lost") != std::string::npos);
}

// The caller hangs up at its own host. The other one, and the engine behind
// it, would go on with work that nobody wants.
TEST_CASE("a caller that hangs up cancels at the host that serves it")
{
    two_hosts hosts;
    bool gone = false;
    hosts.on_turn = [&] {
        if (!gone && tokens_in(hosts.body) >= 3) {
            gone = true;
            hosts.ended = true;
            hosts.hang_up();
        }
    };
    hosts.chat(1000);
    CHECK(hosts.run_until([&] {
        return hosts.engine.counters().cancelled == 1;
    }));
    CHECK(hosts.running(0) == 0);
    CHECK(hosts.running(1) == 0);
}
