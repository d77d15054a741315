#include "program/report.hpp"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace caperjunction::program {
namespace {

using json = nlohmann::json;

net::admin_answer json_answer(int status, json const& body)
{
    return {status,
            "application/json",
            body.dump(2, ' ', false, json::error_handler_t::replace) + "\n"};
}

json step_json(trail_step const& step, model::time_point start)
{
    using std::chrono::duration_cast;
    auto const after = duration_cast<model::milliseconds>(step.when - start);
    json pairs = json::object();
    for (key_value const& item : step.pairs) {
        if (!item.value.empty()) {
            pairs[item.key] = item.value;
        }
    }
    return {
        {"after_ms", after.count()}, {"event", step.event}, {"facts", pairs}};
}

void append_rows(std::string& text, char const* title, json const& rows)
{
    text += fmt::format("\n{}\n", title);
    if (rows.empty()) {
        text += "  none\n";
    }
    for (auto const& [name, value] : rows.items()) {
        text += fmt::format("  {:<32} {}\n", name, value.dump());
    }
}

} // namespace

net::admin_answer explain_answer(trail const& trail, std::string const& id)
{
    model::request_id requested_id;
    if (!absl::SimpleHexAtoi(id, &requested_id.value)) {
        return json_answer(
            400,
            {{"error",
              {{"message", "the id is not hexadecimal"},
               {"remedy",
                "give the value of the caperjunction-request-id header"}}}});
    }
    auto const& steps = trail.steps(requested_id);
    if (steps.empty()) {
        return json_answer(
            404,
            {{"error",
              {{"message", "this host knows no such request"},
               {"remedy",
                "ask the host that the caller reached; the oldest requests "
                "are forgotten first"}}}});
    }
    json list = json::array();
    for (trail_step const& step : steps) {
        list.push_back(step_json(step, steps.front().when));
    }
    return json_answer(200, {{"request", id}, {"steps", list}});
}

net::admin_answer status_answer(host_status const& status,
                                request_tracker const& requests)
{
    return json_answer(200,
                       {{"host", status.host},
                        {"region", status.region},
                        {"data_centre", status.data_centre},
                        {"ready", status.ready},
                        {"stopping", status.stopping},
                        {"revisions", status.revisions},
                        {"hosts", status.hosts},
                        {"claims", status.claims},
                        {"running_by_upstream", requests.running_by_upstream()},
                        {"waiting_by_class", requests.waiting_by_class()},
                        {"refused_by_reason", requests.refused_by_reason()}});
}

std::string explain_table(std::string const& json_text)
{
    json const body = json::parse(json_text, nullptr, false);
    if (!body.is_object() || !body.contains("steps")) {
        return json_text;
    }
    std::string text =
        fmt::format("request {}\n", body["request"].get<std::string>());
    for (json const& step : body["steps"]) {
        text += fmt::format("{:>8} ms  {:<20}",
                            step["after_ms"].get<std::int64_t>(),
                            step["event"].get<std::string>());
        for (auto const& [key, value] : step["facts"].items()) {
            text += fmt::format(" {}={}", key, value.get<std::string>());
        }
        text.push_back('\n');
    }
    return text;
}

std::string status_table(std::string const& json_text)
{
    json const body = json::parse(json_text, nullptr, false);
    if (!body.is_object() || !body.contains("host")) {
        return json_text;
    }
    std::string text = fmt::format("host {} in {} ({}): {}\n",
                                   body["host"].get<std::string>(),
                                   body["data_centre"].get<std::string>(),
                                   body["region"].get<std::string>(),
                                   body["stopping"].get<bool>() ? "stopping"
                                   : body["ready"].get<bool>()  ? "ready"
                                                                : "not ready");
    append_rows(text, "revisions", body["revisions"]);
    append_rows(text, "hosts", body["hosts"]);
    append_rows(text, "running by upstream", body["running_by_upstream"]);
    append_rows(text, "waiting by class", body["waiting_by_class"]);
    append_rows(text, "refused by reason", body["refused_by_reason"]);
    return text;
}

} // namespace caperjunction::program
