#include "net/front.hpp"

#include "model/error.hpp"
#include "net/caller_request.hpp"
#include "net/http_input.hpp"
#include "net/http_sink.hpp"
#include "net/read_ahead.hpp"
#include "net/sockets.hpp"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace caperjunction::net {
namespace {

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view completion_path = "/v1/completions";
constexpr std::string_view models_path = "/v1/models";
constexpr std::string_view services_path = "/services/";

// libevent answers a longer body by itself, with a page instead of JSON;
// twice the limit lets this code answer whatever is a little too long.
constexpr std::size_t body_slack = 2;
constexpr int allowed_methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
                                | EVHTTP_REQ_PATCH;

timeval to_timeval(model::milliseconds time)
{
    return {time.count() / 1000, (time.count() % 1000) * 1000};
}

bool contains(std::vector<std::string> const& names, std::string const& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

front::front(runtime::event_loop& loop,
             relay_settings const& settings,
             front_hooks hooks)
    : m_loop(loop)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_server(evhttp_new(loop.base()))
{
    evhttp_set_max_headers_size(m_server, model::limits::max_header_bytes);
    evhttp_set_max_body_size(
        m_server,
        static_cast<ev_ssize_t>(m_settings.max_body_bytes * body_slack));
    evhttp_set_allowed_methods(m_server, allowed_methods);
    timeval const limit = to_timeval(m_settings.caller_timeout);
    evhttp_set_timeout_tv(m_server, &limit);
    evhttp_set_gencb(
        m_server,
        [](evhttp_request* caller, void* self) {
            static_cast<front*>(self)->handle(caller);
        },
        this);
    m_socket = evhttp_bind_socket_with_handle(
        m_server, m_settings.listen.address.c_str(), m_settings.listen.port);
    if (m_socket == nullptr) {
        evhttp_free(m_server);
        throw model::error(model::error_kind::bad_settings,
                           fmt::format("cannot listen on {}:{}",
                                       m_settings.listen.address,
                                       m_settings.listen.port),
                           "free that port or choose another with --listen");
    }
    m_port = port_of(m_socket);
}

front::~front()
{
    evhttp_free(m_server);
}

void front::stop_accepting()
{
    if (m_socket != nullptr) {
        evhttp_del_accept_socket(m_server, m_socket);
        m_socket = nullptr;
    }
}

model::request_id front::next_id()
{
    ++m_last_id;
    return {(static_cast<std::uint64_t>(m_settings.id_prefix) << 32U)
            | m_last_id};
}

void front::handle(evhttp_request* caller)
{
    model::request_id const id = next_id();
    send_at_once(evhttp_request_get_connection(caller));
    try {
        serve(caller, id);
    } catch (model::error const& failure) {
        send_error(make_http_sink(caller, [] {}),
                   {failure.kind(),
                    failure.what(),
                    failure.remedy(),
                    model::milliseconds{0}},
                   {id, model::outcome::not_run});
    }
}

void front::serve(evhttp_request* caller, model::request_id id)
{
    if (m_catalogue == nullptr) {
        send_error(make_http_sink(caller, [] {}),
                   {model::error_kind::unavailable,
                    "this host has no lists yet",
                    "send it again in a second",
                    model::milliseconds{1000}},
                   {id, model::outcome::not_run});
        return;
    }
    std::string const path = path_of(caller);
    lists::identity const who = authenticate(caller);
    if (path == chat_path || path == completion_path) {
        serve_text(caller, id, who, path == chat_path);
    } else if (path == models_path) {
        serve_models(caller, id, who);
    } else if (path.rfind(services_path, 0) == 0) {
        serve_service(caller, id, who);
    } else {
        throw model::error(
            model::error_kind::not_found,
            "nothing is served at this path",
            "use /v1/chat/completions, /v1/completions, /v1/models or "
            "/services/NAME/...");
    }
}

lists::identity front::authenticate(evhttp_request* caller) const
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

std::unique_ptr<exchange> front::make_exchange(evhttp_request* caller,
                                               model::request_id id,
                                               lists::identity const& who)
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

void front::serve_text(evhttp_request* caller,
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
    made->path = chat ? chat_path : completion_path;
    made->body = std::move(parsed.upstream_body);
    pass_on(caller, std::move(made));
}

void front::serve_models(evhttp_request* caller,
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

void front::serve_service(evhttp_request* caller,
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

void front::pass_on(evhttp_request* caller, std::unique_ptr<exchange> made)
{
    model::request_id const id = made->request.id;
    if (m_hooks.arrived(std::move(made))) {
        watch_for_hang_up(caller, id);
        return;
    }
    throw model::error(model::error_kind::unavailable,
                       "this host has more requests than it can hold",
                       "send it again in a second");
}

// libevent stops reading while an answer is due, and so misses that a caller
// hangs up before its answer begins; the engine would go on with work that
// nobody wants. Reading on makes the close callback fire.
void front::watch_for_hang_up(evhttp_request* caller, model::request_id id)
{
    evhttp_connection* const connection = evhttp_request_get_connection(caller);
    bufferevent* const stream = evhttp_connection_get_bufferevent(connection);
    timeval const limit = to_timeval(m_settings.caller_timeout);
    // A caller that waits for its answer is silent by rights.
    bufferevent_set_timeouts(stream, nullptr, &limit);
    begin_read_ahead(stream);
    watch& made = m_watches[connection];
    made = {this, id, caller};
    evhttp_connection_set_closecb(
        connection,
        [](evhttp_connection* closed, void* arg) {
            watch const seen = *static_cast<watch*>(arg);
            seen.owner->m_watches.erase(closed);
            seen.owner->m_hooks.hung_up(seen.id);
            // evhttp has cut an unanswered request loose and left it to its
            // handler; kept, each hang-up would cost its whole body for good.
            if (evhttp_request_get_connection(seen.caller) == nullptr) {
                evhttp_request_free(seen.caller);
            }
        },
        &made);
}

void front::release(evhttp_request* caller)
{
    evhttp_connection* const connection = evhttp_request_get_connection(caller);
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    m_watches.erase(connection);
    timeval const limit = to_timeval(m_settings.caller_timeout);
    bufferevent* const stream = evhttp_connection_get_bufferevent(connection);
    bufferevent_set_timeouts(stream, &limit, &limit);
    end_read_ahead(stream);
}

} // namespace caperjunction::net
