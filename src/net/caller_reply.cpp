#include "net/caller_reply.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>

namespace caperjunction::net {
namespace {

struct kind_status
{
    model::error_kind kind;
    int status;
};

constexpr std::array<kind_status, 12> statuses{{
    {model::error_kind::bad_settings, 500},
    {model::error_kind::bad_list, 500},
    {model::error_kind::bad_request, 400},
    {model::error_kind::unauthenticated, 401},
    {model::error_kind::not_entitled, 403},
    {model::error_kind::not_found, 404},
    {model::error_kind::too_large, 413},
    {model::error_kind::refused, 429},
    {model::error_kind::quarantined, 422},
    {model::error_kind::upstream_failed, 502},
    {model::error_kind::unavailable, 503},
    {model::error_kind::timed_out, 504},
}};

} // namespace

int status_of(model::error_kind kind)
{
    for (kind_status const& entry : statuses) {
        if (entry.kind == kind) {
            return entry.status;
        }
    }
    return 500;
}

std::string to_string(model::request_id id)
{
    return fmt::format("{:016x}", id.value);
}

std::string error_body(error_reply const& error, reply_metadata const& metadata)
{
    nlohmann::json const body{
        {"error",
         {{"message", error.message + "; " + error.remedy},
          {"type", model::to_string(error.kind)},
          {"code", model::to_string(error.kind)},
          {"remedy", error.remedy},
          {"request_id", to_string(metadata.id)},
          {"outcome", model::to_string(metadata.outcome)}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string closing_events(model::outcome outcome)
{
    std::string events = fmt::format(": caperjunction-outcome={}\n\n",
                                     model::to_string(outcome));
    if (outcome == model::outcome::ran) {
        events += "data: [DONE]\n\n";
    }
    return events;
}

std::string round_up_to_seconds(model::milliseconds time)
{
    return std::to_string((time.count() + 999) / 1000);
}

} // namespace caperjunction::net
