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

/// A relay, in place of a complete host.
struct relay_host
{
    std::string name;
    std::unique_ptr<net::relay> relay;
    std::vector<net::relay_report> reports;
};

/// Two relays that exchange hand-over messages. The test acts as the task that
/// decides: the first relay hands over every request, the second serves or
/// refuses it according to `serve`.
class relay_pair
{
public:
    relay_pair()
        : m_client(loop, {})
        , engine(loop.base(), engine_settings())
    {
        for (std::size_t index = 0; index < 2; ++index) {
            relay_host& own = m_hosts[index];
            own.name = fmt::format("host-{}", index);
            own.relay = std::make_unique<net::relay>(
                loop, net::relay_settings{}, [this, index](auto& report) {
                    loop.defer([this, index, report] {
                        forward_report(index, report);
                    });
                    return true;
                });
            model::upstream_list listed;
            listed.engines.push_back(
                {"engine-0", "west", "west-a", engine.address(), {}});
            send_message(index, net::use_upstreams{listed});
            send_message(index, net::use_lists{catalogue()});
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

    void disconnect()
    {
        m_client.cancel(m_call);
    }

    bool run_until(std::function<bool()> const& done)
    {
        return stand_ins::run_until(loop, [this, &done] {
            if (on_iteration) {
                on_iteration();
            }
            return done();
        });
    }

    void send_message(std::size_t index, net::relay_message message)
    {
        m_hosts[index].relay->handle(message);
    }

    std::size_t running(std::size_t index) const
    {
        return m_hosts[index].relay->running();
    }

    runtime::event_loop loop;

private:
    net::upstream_client m_client;

public:
    stand_ins::engine engine;
    /// Whether the second host serves handed-over requests.
    bool serve = true;
    bool ended = false;
    int status = 0;
    std::string body;
    std::vector<decide::hand_over_refused> refused;
    std::function<void()> on_iteration;

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

    void forward_report(std::size_t index, net::relay_report const& report)
    {
        std::size_t const other = 1 - index;
        std::string const& name = m_hosts[index].name;
        if (auto const* requested =
                std::get_if<net::hand_over_requested>(&report)) {
            send_message(other,
                         net::serve_handed_over{name, requested->request});
        } else if (auto const* part =
                       std::get_if<net::hand_over_chunk_ready>(&report)) {
            send_message(other, net::receive_chunk{name, part->chunk});
        } else if (auto const* ended_answer =
                       std::get_if<net::hand_over_ended>(&report)) {
            send_message(other, net::receive_end{name, ended_answer->end});
        } else if (auto const* cancelled =
                       std::get_if<net::hand_over_cancelled>(&report)) {
            send_message(other, net::cancel_handed_over{name, cancelled->id});
        } else if (auto const* event = std::get_if<decide::event>(&report)) {
            decide_on(index, *event);
        }
    }

    void decide_on(std::size_t index, decide::event const& event)
    {
        auto const* arrived = std::get_if<decide::request_arrived>(&event);
        auto const* refusal = std::get_if<decide::hand_over_refused>(&event);
        if (arrived != nullptr && index == 0) {
            send_message(0,
                         decide::decision(decide::hand_over{
                             arrived->request.id, "host-1", "test"}));
        } else if (arrived != nullptr && serve) {
            CHECK(arrived->request.handed_over);
            decide::dispatch to;
            to.id = arrived->request.id;
            to.upstream = "engine-0";
            send_message(1, decide::decision(to));
        } else if (arrived != nullptr) {
            decide::refuse refuse;
            refuse.id = arrived->request.id;
            refuse.reason = "queue_full";
            refuse.remedy = "send it again later";
            send_message(1, decide::decision(refuse));
        } else if (refusal != nullptr) {
            refused.push_back(*refusal);
            decide::refuse refuse;
            refuse.id = refusal->id;
            refuse.reason = "queue_full";
            refuse.remedy = "send it again later";
            send_message(0, decide::decision(refuse));
        }
    }

    relay_host m_hosts[2];
    net::call_handle m_call;
};

bool is_complete(std::string const& body)
{
    return body.find("data: [DONE]") != std::string::npos;
}

std::size_t tokens_in(std::string const& body)
{
    std::size_t count = 0;
    for (std::size_t index = body.find("\"content\":");
         index != std::string::npos;
         index = body.find("\"content\":", index + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("the caller receives the complete answer of the serving host")
{
    relay_pair pair;
    std::string const body = pair.chat(30);
    CHECK(pair.status == 200);
    CHECK(is_complete(body));
    CHECK(tokens_in(body) == 30);
    CHECK(pair.run_until([&] {
        return pair.running(0) == 0 && pair.running(1) == 0;
    }));
}

// The other host looked idle when it was chosen, but is full by now. The
// caller receives the answer of its own host; its request has not run.
TEST_CASE("a refused hand-over returns to the host that sent it")
{
    relay_pair pair;
    pair.serve = false;
    std::string const body = pair.chat(30);
    CHECK(pair.refused.size() == 1);
    CHECK(pair.status == 429);
    CHECK(body.find("not-run") != std::string::npos);
    CHECK(pair.running(0) == 0);
    CHECK(pair.running(1) == 0);
}

// The serving host crashes in the middle of an answer. The caller has received
// a part, which must not look like a complete answer, and the caller must not
// wait forever.
TEST_CASE("the loss of the serving host ends the answer with an error")
{
    relay_pair pair;
    bool lost = false;
    pair.on_iteration = [&] {
        if (!lost && tokens_in(pair.body) >= 5) {
            lost = true;
            pair.send_message(0, net::drop_host{"host-1"});
        }
    };
    std::string const body = pair.chat(200);
    CHECK(lost);
    CHECK(pair.ended);
    CHECK_FALSE(is_complete(body));
    CHECK(body.find("serving_host_lost") != std::string::npos);
}

// The caller disconnects from its own host. Without a cancellation, the serving
// host and its engine continue to generate an unwanted answer.
TEST_CASE("a caller's disconnect cancels the request on the serving host")
{
    relay_pair pair;
    bool disconnected = false;
    pair.on_iteration = [&] {
        if (!disconnected && tokens_in(pair.body) >= 3) {
            disconnected = true;
            pair.ended = true;
            pair.disconnect();
        }
    };
    pair.chat(1000);
    CHECK(pair.run_until([&] {
        return pair.engine.counters().cancelled == 1;
    }));
    CHECK(pair.running(0) == 0);
    CHECK(pair.running(1) == 0);
}
