#ifndef CAPERJUNCTION_TESTS_PROXY_SERVE_RELAY_HPP
#define CAPERJUNCTION_TESTS_PROXY_SERVE_RELAY_HPP

#include "lists/catalogue.hpp"
#include "lists/parse.hpp"
#include "net/relay.hpp"
#include "proxy/allocated_bytes.hpp"
#include "proxy/relay_fixture.hpp"
#include "stand_ins/site_lists.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace caperjunction::test {

struct caller_result
{
    int status = 0;
    std::string body;
    bool ended = false;
};

/// A relay of `serve` with one service, to which each request is sent once.
struct serve_relay
{
    explicit serve_relay(std::function<script(received const&)> answer,
                         net::relay_settings const& settings = {})
        : service(loop, std::move(answer))
        , relay(loop, settings, [this](net::relay_report& report) {
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
        is_idle = is_idle || std::holds_alternative<net::relay_idle>(report);
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
    /// The relay has said that no request is left in a planned stop.
    bool is_idle = false;
    net::upstream_client callers{loop, {}};
};

} // namespace caperjunction::test

#endif
