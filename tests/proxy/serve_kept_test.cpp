#include "lists/catalogue.hpp"
#include "lists/parse.hpp"
#include "net/relay.hpp"
#include "proxy/allocated_bytes.hpp"
#include "proxy/relay_fixture.hpp"
#include "stand_ins/site_lists.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <variant>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

constexpr std::size_t longest_answer = 4'000'000;
constexpr std::size_t most_kept = 2 * longest_answer;
constexpr std::size_t faulty_calls = 40;
/// A kept answer may move to a place of twice its size, and each connection
/// may hold bytes that have not been parsed.
constexpr std::size_t max_growth = 3 * most_kept + faulty_calls * 1'048'576;

net::relay_settings small_limits()
{
    net::relay_settings settings;
    settings.max_body_bytes = longest_answer;
    settings.max_kept_bytes = most_kept;
    settings.upstreams.progress = 1'000ms;
    return settings;
}

struct caller_result
{
    int status = 0;
    std::string body;
    bool ended = false;
};

/// A relay of `serve` with one service, to which each request is sent once.
struct serve_relay
{
    explicit serve_relay(std::function<script(received const&)> answer)
        : service(loop, std::move(answer))
        , relay(loop, small_limits(), [this](net::relay_report& report) {
            handle(report);
            return true;
        })
    {
        std::vector<lists::fault> faults;
        tell(net::use_lists{std::make_shared<lists::catalogue>(
            lists::parse_plans(stand_ins::site_plans(), "plans", faults),
            lists::parse_entitlements(
                stand_ins::site_entitlements(), "entitlements", faults))});
        model::upstream_list listed;
        listed.services.push_back({});
        listed.services.back().name = "ledger-1";
        listed.services.back().address = service.at();
        tell(net::use_upstreams{listed});
        loop.run_once();
    }

    void tell(net::relay_message message)
    {
        loop.defer([this, message]() mutable {
            relay.handle(message);
        });
    }

    void handle(net::relay_report const& report)
    {
        auto const* const event = std::get_if<decide::event>(&report);
        if (event == nullptr) {
            return;
        }
        if (auto const* arrived = std::get_if<decide::request_arrived>(event)) {
            decide::dispatch to;
            to.id = arrived->request.id;
            to.upstream = "ledger-1";
            tell(decide::decision(to));
        } else if (auto const* end = std::get_if<decide::attempt_ended>(event);
                   end != nullptr && end->end == decide::attempt_end::broken) {
            decide::refuse refusal;
            refusal.id = end->id;
            refusal.kind = model::error_kind::upstream_failed;
            refusal.outcome = model::outcome::unknown;
            tell(decide::decision(refusal));
        }
    }

    std::shared_ptr<caller_result> call(std::string const& path)
    {
        auto result = std::make_shared<caller_result>();
        net::upstream_call made;
        made.to = {"127.0.0.1", relay.port()};
        made.method = "GET";
        made.path = "/services/ledger" + path;
        made.headers = {
            {"Authorization", std::string("Bearer ") + stand_ins::site_key}};
        callers.start(made,
                      {[result](net::call_head const& head) {
                           result->status = head.status;
                       },
                       [result](std::string_view bytes) {
                           result->body.append(bytes);
                       },
                       [result](net::call_end) {
                           result->ended = true;
                       }});
        return result;
    }

    /// Returns the most bytes that were allocated meanwhile.
    std::size_t
    run_until_ended(std::vector<std::shared_ptr<caller_result>> const& calls)
    {
        std::size_t most = 0;
        auto const limit = loop.now() + 8s;
        auto const has_ended = [](auto const& call) {
            return call->ended;
        };
        while (!std::all_of(calls.begin(), calls.end(), has_ended)
               && loop.now() < limit) {
            loop.run_once();
            most = std::max(most, allocated_bytes());
        }
        return most;
    }

    runtime::event_loop loop;
    scripted_upstream service;
    net::relay relay;
    net::upstream_client callers{loop, {}};
};

script endless(std::string const& head, std::string const& bytes)
{
    script plan{head};
    plan.endless = bytes;
    return plan;
}

} // namespace

// Guards against a host of `serve` that some services fill with answers without
// end: each is bounded, their sum was not.
TEST_CASE("answers without end are bounded together, and others are served")
{
    std::string const bytes(16'384, 'x');
    for (script const& plan :
         {endless("HTTP/1.1 200 OK\r\n\r\n", bytes),
          endless("HTTP/1.1 500 X\r\n\r\n", bytes),
          endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                  chunk(bytes))}) {
        serve_relay host([&plan](received const& request) {
            bool const is_sound =
                request.head.target.find("sound") != std::string::npos;
            return is_sound ? script{"HTTP/1.1 200 OK\r\nContent-Length: 5"
                                     "\r\n\r\nsound"}
                            : plan;
        });
        std::size_t const before = allocated_bytes();
        std::vector<std::shared_ptr<caller_result>> faulty;
        std::vector<std::shared_ptr<caller_result>> sound;
        for (std::size_t call = 0; call < faulty_calls; ++call) {
            faulty.push_back(host.call("/load"));
            sound.push_back(host.call("/sound"));
        }
        std::size_t const most =
            std::max(host.run_until_ended(sound), host.run_until_ended(faulty));
        for (auto const& call : sound) {
            CHECK(call->status == 200);
            CHECK(call->body == "sound");
        }
        for (auto const& call : faulty) {
            CHECK(call->status == 502);
        }
        CHECK(most < before + max_growth);
    }
}

TEST_CASE("an answer as long as allowed is served")
{
    std::string const body(longest_answer, 'y');
    serve_relay host([&body](received const&) {
        return script{"HTTP/1.1 200 OK\r\nContent-Length: "
                      + std::to_string(body.size()) + "\r\n\r\n" + body};
    });
    std::vector<std::shared_ptr<caller_result>> calls;
    for (int call = 0; call < 2; ++call) {
        calls.push_back(host.call("/long"));
    }
    host.run_until_ended(calls);
    for (auto const& call : calls) {
        CHECK(call->status == 200);
        CHECK(call->body == body);
    }
}
