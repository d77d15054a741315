#include "net/caller_server.hpp"

#include "model/error.hpp"
#include "net/caller_request.hpp"
#include "net/http_input.hpp"
#include "net/http_sink.hpp"
#include "net/paths.hpp"

#include <event2/http.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace caperjunction::net {
namespace {

bool contains(std::vector<std::string> const& names, std::string const& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

lists::identity caller_server::authenticate(evhttp_request* caller) const
{
    constexpr std::string_view scheme = "Bearer ";
    std::string const given = header_of(caller, "Authorization");
    lists::identity who;
    if (given.rfind(scheme, 0) == 0) {
        who = m_catalogue->identify(given.substr(scheme.size()));
    }
    if (who.team == nullptr) {
        throw model::error(
            model::error_kind::unauthenticated,
            "the API key is missing or unknown",
            "send it as 'Authorization: Bearer KEY'; ask your operator for "
            "a key");
    }
    return who;
}

std::unique_ptr<exchange> caller_server::make_exchange(
    evhttp_request* caller, model::request_id id, lists::identity const& who)
{
    auto made = std::make_unique<exchange>();
    made->caller = make_http_sink(caller, [this, caller] {
        release(caller);
    });
    made->request.id = id;
    made->request.customer = who.customer->name;
    made->request.team = who.team->name;
    made->request.plan = who.plan->name;
    made->request.arrived = m_loop.now();
    made->idempotency_key = header_of(caller, "Idempotency-Key");
    made->body = body_of(caller, m_settings.max_body_bytes);
    std::string const wished = header_of(caller, "caperjunction-class");
    if (!wished.empty() && !contains(who.plan->classes, wished)) {
        throw model::error(
            model::error_kind::not_entitled,
            "the plan has no class of this name",
            "leave out caperjunction-class, or name one of the plan's "
            "classes");
    }
    made->request.service_class =
        wished.empty() ? who.plan->classes.front() : wished;
    return made;
}

void caller_server::serve_text(evhttp_request* caller,
                               model::request_id id,
                               lists::identity const& who,
                               bool chat)
{
    if (evhttp_request_get_command(caller) != EVHTTP_REQ_POST) {
        throw model::error(model::error_kind::bad_request,
                           "this path takes POST only",
                           "send the request as POST");
    }
    auto made = make_exchange(caller, id, who);
    auto const* const kind =
        m_catalogue->find_class(made->request.service_class);
    caller_request parsed = parse_caller_request(
        made->body,
        chat ? text_interface::chat : text_interface::completion,
        kind->max_output_tokens);
    if (m_catalogue->find_model(parsed.model) == nullptr) {
        throw model::error(model::error_kind::not_found,
                           "there is no model of this name",
                           "name one that /v1/models lists");
    }
    if (who.entitlement == nullptr
        || !contains(who.entitlement->models, parsed.model)) {
        throw model::error(
            model::error_kind::not_entitled,
            "the plan does not include this model",
            "name one that /v1/models lists, or ask for another plan");
    }
    decide::request& request = made->request;
    request.model = parsed.model;
    request.prompt_tokens = parsed.prompt_tokens;
    request.max_output_tokens = parsed.max_output_tokens;
    request.prefix_blocks = std::move(parsed.prefix_blocks);
    request.fingerprint = XXH3_64bits_withSeed(
        request.customer.data(), request.customer.size(), parsed.fingerprint);
    made->mode = parsed.stream ? reply_mode::events : reply_mode::assembled;
    made->path = chat ? paths::chat : paths::completion;
    made->body = std::move(parsed.upstream_body);
    pass_on(caller, std::move(made));
}

void caller_server::serve_models(evhttp_request* caller,
                                 model::request_id id,
                                 lists::identity const& who)
{
    nlohmann::json data = nlohmann::json::array();
    if (who.entitlement != nullptr) {
        for (std::string const& name : who.entitlement->models) {
            data.push_back(
                {{"id", name}, {"object", "model"}, {"owned_by", "operator"}});
        }
    }
    nlohmann::json const body{{"object", "list"}, {"data", data}};
    std::string const text = body.dump();
    make_http_sink(caller, [] {
    }).whole({200, "application/json", text, {id, model::outcome::ran}});
}

void caller_server::serve_service(evhttp_request* caller,
                                  model::request_id id,
                                  lists::identity const& who)
{
    auto made = make_exchange(caller, id, who);
    service_path const target = split_service_path(uri_of(caller));
    made->request.service = target.service;
    made->method = method_of(caller);
    made->path = target.rest;
    made->mode = reply_mode::collected;
    std::string const type = header_of(caller, "Content-Type");
    if (!type.empty()) {
        made->content_type = type;
    }
    check_service_call(*m_catalogue, who, *made);
    pass_on(caller, std::move(made));
}

} // namespace caperjunction::net
