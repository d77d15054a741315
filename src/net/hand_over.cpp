#include "net/hand_over.hpp"

#include "model/error.hpp"
#include "net/caller_request.hpp"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <limits>

namespace caperjunction::net {
namespace {

std::string field_of(fleet::hand_over_request const& request,
                     std::string const& name)
{
    for (fleet::header_field const& field : request.headers) {
        if (field.name == name) {
            return field.value;
        }
    }
    return "";
}

reply_mode mode_of(fleet::hand_over_request const& request)
{
    std::string const name = field_of(request, "mode");
    if (name == "events") {
        return reply_mode::events;
    }
    return name == "assembled" ? reply_mode::assembled : reply_mode::collected;
}

char const* name_of(reply_mode mode)
{
    switch (mode) {
    case reply_mode::events:
        return "events";
    case reply_mode::assembled:
        return "assembled";
    case reply_mode::collected:
        break;
    }
    return "collected";
}

void set_text_fields(decide::request& request,
                     std::string const& path,
                     std::string const& body)
{
    bool const chat = path.find("chat") != std::string::npos;
    caller_request parsed = parse_caller_request(
        body,
        chat ? text_interface::chat : text_interface::completion,
        std::numeric_limits<std::uint32_t>::max());
    request.prompt_tokens = parsed.prompt_tokens;
    request.max_output_tokens = parsed.max_output_tokens;
    request.prefix_blocks = std::move(parsed.prefix_blocks);
}

} // namespace

fleet::hand_over_request pack(exchange const& active, model::time_point now)
{
    using std::chrono::duration_cast;
    decide::request const& request = active.request;
    fleet::hand_over_request packed;
    packed.id = request.id;
    packed.method = active.method;
    packed.path = active.path;
    packed.body = active.body;
    packed.waited = duration_cast<model::milliseconds>(now - request.arrived);
    packed.headers = {
        {"customer", request.customer},
        {"team", request.team},
        {"plan", request.plan},
        {"class", request.service_class},
        {"model", request.model},
        {"service", request.service},
        {"mode", name_of(active.mode)},
        {"content-type", active.content_type},
        {"fingerprint", fmt::format("{:016x}", request.fingerprint)}};
    return packed;
}

std::unique_ptr<exchange> unpack(fleet::hand_over_request const& packed,
                                 model::time_point now)
{
    auto created = std::make_unique<exchange>();
    decide::request& request = created->request;
    request.id = packed.id;
    request.customer = field_of(packed, "customer");
    request.team = field_of(packed, "team");
    request.plan = field_of(packed, "plan");
    request.service_class = field_of(packed, "class");
    request.model = field_of(packed, "model");
    request.service = field_of(packed, "service");
    request.arrived = now - packed.waited;
    request.handed_over = true;
    created->mode = mode_of(packed);
    created->method = packed.method;
    created->path = packed.path;
    created->body = packed.body;
    created->content_type = field_of(packed, "content-type");
    bool const is_valid = absl::SimpleHexAtoi(field_of(packed, "fingerprint"),
                                              &request.fingerprint)
                          && request.model.empty() != request.service.empty();
    if (!is_valid) {
        throw model::error(model::error_kind::bad_request,
                           "a handed-over request lacks its fields",
                           "run the same version on all hosts");
    }
    if (!request.model.empty()) {
        set_text_fields(request, created->path, created->body);
    }
    return created;
}

} // namespace caperjunction::net
