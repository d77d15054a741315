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
    std::string const authorization = header_of(caller, "Authorization");
    lists::identity identity;
    if (authorization.rfind(scheme, 0) == 0) {
        identity = m_catalogue->identify(authorization.substr(scheme.size()));
    }
    if (identity.team == nullptr) {
        throw model::error(
            model::error_kind::unauthenticated,
            "the API key is missing or unknown",
            "send it as 'Authorization: Bearer KEY'; ask your operator for "
            "a key");
    }
    return identity;
}

std::unique_ptr<exchange>
caller_server::make_exchange(evhttp_request* caller,
                             model::request_id id,
                             lists::identity const& identity)
{
    auto created = std::make_unique<exchange>();
    created->caller = make_http_sink(caller, [this, caller] {
        release(caller);
    });
    created->request.id = id;
    created->request.customer = identity.customer->name;
    created->request.team = identity.team->name;
    created->request.plan = identity.plan->name;
    created->request.arrived = m_loop.now();
    created->idempotency_key = header_of(caller, "Idempotency-Key");
    created->body = body_of(caller, m_settings.max_body_bytes);
    std::string const requested = header_of(caller, "caperjunction-class");
    if (!requested.empty() && !contains(identity.plan->classes, requested)) {
        throw model::error(
            model::error_kind::not_entitled,
            "the plan has no class of this name",
            "leave out caperjunction-class, or name one of the plan's "
            "classes");
    }
    created->request.service_class =
        requested.empty() ? identity.plan->classes.front() : requested;
    return created;
}

void caller_server::serve_text(evhttp_request* caller,
                               model::request_id id,
                               lists::identity const& identity,
                               bool chat)
{
    if (evhttp_request_get_command(caller) != EVHTTP_REQ_POST) {
        throw model::error(model::error_kind::bad_request,
                           "this path takes POST only",
                           "send the request as POST");
    }
    auto created = make_exchange(caller, id, identity);
    auto const* const service_class =
        m_catalogue->find_class(created->request.service_class);
    caller_request parsed = parse_caller_request(
        created->body,
        chat ? text_interface::chat : text_interface::completion,
        service_class->max_output_tokens);
    if (m_catalogue->find_model(parsed.model) == nullptr) {
        throw model::error(model::error_kind::not_found,
                           "there is no model of this name",
                           "name one that /v1/models lists");
    }
    if (identity.entitlement == nullptr
        || !contains(identity.entitlement->models, parsed.model)) {
        throw model::error(
            model::error_kind::not_entitled,
            "the plan does not include this model",
            "name one that /v1/models lists, or ask for another plan");
    }
    decide::request& request = created->request;
    request.model = parsed.model;
    request.prompt_tokens = parsed.prompt_tokens;
    request.max_output_tokens = parsed.max_output_tokens;
    request.prefix_blocks = std::move(parsed.prefix_blocks);
    request.fingerprint = XXH3_64bits_withSeed(
        request.customer.data(), request.customer.size(), parsed.fingerprint);
    created->mode = parsed.stream ? reply_mode::events : reply_mode::assembled;
    created->path = chat ? paths::chat : paths::completion;
    created->body = std::move(parsed.upstream_body);
    submit(caller, std::move(created));
}

void caller_server::serve_models(evhttp_request* caller,
                                 model::request_id id,
                                 lists::identity const& identity)
{
    nlohmann::json data = nlohmann::json::array();
    if (identity.entitlement != nullptr) {
        for (std::string const& name : identity.entitlement->models) {
            data.push_back(
                {{"id", name}, {"object", "model"}, {"owned_by", "operator"}});
        }
    }
    nlohmann::json const body{{"object", "list"}, {"data", data}};
    std::string const text = body.dump();
    make_http_sink(caller, [] {
    }).complete({200, "application/json", text, {id, model::outcome::ran}});
}

void caller_server::serve_service(evhttp_request* caller,
                                  model::request_id id,
                                  lists::identity const& identity)
{
    auto created = make_exchange(caller, id, identity);
    service_path const target = split_service_path(uri_of(caller));
    created->request.service = target.service;
    created->method = method_of(caller);
    created->path = target.rest;
    created->mode = reply_mode::collected;
    std::string const type = header_of(caller, "Content-Type");
    if (!type.empty()) {
        created->content_type = type;
    }
    check_service_call(*m_catalogue, identity, *created);
    submit(caller, std::move(created));
}

} // namespace caperjunction::net
