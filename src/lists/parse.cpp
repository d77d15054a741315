#include "lists/parse.hpp"

#include "lists/object_reader.hpp"
#include "lists/parse_document.hpp"

namespace caperjunction::lists {
namespace {

// A salt of 64 bits is unique in practice, so that equal keys get different
// hashes over any number of lists.
constexpr std::size_t min_salt_digits = 16;
constexpr std::size_t max_salt_digits = 128;
constexpr std::size_t hash_digits = 64;

bool is_supported_method(std::string const& name)
{
    return name == "GET" || name == "HEAD" || name == "POST" || name == "PUT"
           || name == "PATCH" || name == "DELETE";
}

void read_tier(object_reader& from, plan_list& into)
{
    tier item;
    from.require_name("name", item.name);
    from.read_count("rank", item.rank, 0);
    from.read_share("guaranteed_share", item.guaranteed_share);
    into.tiers.push_back(std::move(item));
}

void read_class(object_reader& from, plan_list& into)
{
    service_class item;
    from.require_name("name", item.name);
    from.require_name("tier", item.tier);
    from.read_duration_ms("first_token_ms", item.first_token_target);
    from.read_duration_ms("between_tokens_ms", item.inter_token_target);
    from.read_share("promised_attainment", item.promised_attainment);
    from.read_duration_ms("max_wait_ms", item.max_wait);
    from.read_count("max_output_tokens", item.max_output_tokens, 1);
    from.read_share("retry_ratio", item.retry_ratio);
    into.classes.push_back(std::move(item));
}

void read_limits(object_reader& from, usage_limits& into)
{
    from.read_rate("requests_per_second", into.requests_per_second);
    from.read_rate("tokens_per_second", into.tokens_per_second);
    from.read_count("concurrent_requests", into.concurrent_requests, 0);
}

void read_plan(object_reader& from, plan_list& into)
{
    plan item;
    from.require_name("name", item.name);
    from.read_names("classes", item.classes);
    from.read_object("team_limits", [&item](object_reader& limits) {
        read_limits(limits, item.team_limits);
    });
    into.plans.push_back(std::move(item));
}

void read_team(object_reader& from, customer& into)
{
    team item;
    from.require_name("name", item.name);
    from.require_name("plan", item.plan);
    from.read_objects("keys", [&item](object_reader& key) {
        api_key entry;
        key.require_name("id", entry.id);
        if (entry.id.find('.') != std::string::npos) {
            // The id of a key ends at its first dot, so an id that contains
            // a dot never matches.
            key.add_fault("id", "contains a dot", "remove the dot from the id");
        }
        key.require_hex("salt", entry.salt, min_salt_digits, max_salt_digits);
        key.require_hex("sha256", entry.sha256, hash_digits, hash_digits);
        item.keys.push_back(std::move(entry));
    });
    into.teams.push_back(std::move(item));
}

void read_customer(object_reader& from, plan_list& into)
{
    customer item;
    from.require_name("name", item.name);
    from.read_objects("teams", [&item](object_reader& team_reader) {
        read_team(team_reader, item);
    });
    into.customers.push_back(std::move(item));
}

void read_model(object_reader& from, entitlement_list& into)
{
    model_entry item;
    from.require_name("name", item.name);
    from.read_count("context_tokens", item.context_tokens, 1);
    into.models.push_back(std::move(item));
}

void read_service(object_reader& from, entitlement_list& into)
{
    service_entry item;
    from.require_name("name", item.name);
    from.read_name("home_region", item.home_region);
    from.read_objects("calls", [&item](object_reader& call_reader) {
        service_call call;
        call_reader.require_name("method", call.method);
        if (!call.method.empty() && !is_supported_method(call.method)) {
            call_reader.add_fault("method",
                                  "is not a supported method",
                                  "use GET, HEAD, POST, PUT, PATCH or DELETE");
        }
        call_reader.require_text("path_prefix", call.path_prefix);
        if (!call.path_prefix.empty() && call.path_prefix.front() != '/') {
            call_reader.add_fault("path_prefix",
                                  "does not start with a slash",
                                  "write it as /path");
        }
        call_reader.read_boolean("repeatable", call.repeatable);
        item.calls.push_back(std::move(call));
    });
    into.services.push_back(std::move(item));
}

void read_entitlement(object_reader& from, entitlement_list& into)
{
    entitlement item;
    from.require_name("plan", item.plan);
    from.read_names("models", item.models);
    from.read_names("services", item.services);
    into.entitlements.push_back(std::move(item));
}

} // namespace

plan_list parse_plans(std::string_view text,
                      std::string const& file,
                      std::vector<fault>& faults)
{
    plan_list list;
    parse_document(text, file, faults, [&](object_reader& root) {
        root.read_objects("tiers", [&list](object_reader& item) {
            read_tier(item, list);
        });
        root.read_objects("classes", [&list](object_reader& item) {
            read_class(item, list);
        });
        root.read_objects("plans", [&list](object_reader& item) {
            read_plan(item, list);
        });
        root.read_objects("customers", [&list](object_reader& item) {
            read_customer(item, list);
        });
    });
    return list;
}

entitlement_list parse_entitlements(std::string_view text,
                                    std::string const& file,
                                    std::vector<fault>& faults)
{
    entitlement_list list;
    parse_document(text, file, faults, [&](object_reader& root) {
        root.read_objects("models", [&list](object_reader& item) {
            read_model(item, list);
        });
        root.read_objects("services", [&list](object_reader& item) {
            read_service(item, list);
        });
        root.read_objects("entitlements", [&list](object_reader& item) {
            read_entitlement(item, list);
        });
    });
    return list;
}

} // namespace caperjunction::lists
