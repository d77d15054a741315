#include "lists/parse.hpp"

#include "lists/parse_document.hpp"
#include "lists/reader.hpp"

namespace caperjunction::lists {
namespace {

// 64 bits keep equal keys apart over any number of lists.
constexpr std::size_t min_salt_digits = 16;
constexpr std::size_t max_salt_digits = 128;
constexpr std::size_t hash_digits = 64;

bool is_method(std::string const& name)
{
    return name == "GET" || name == "HEAD" || name == "POST" || name == "PUT"
           || name == "PATCH" || name == "DELETE";
}

void read_tier(reader& from, plan_list& into)
{
    tier item;
    from.need_name("name", item.name);
    from.count("rank", item.rank, 0);
    from.share("guaranteed_share", item.guaranteed_share);
    into.tiers.push_back(std::move(item));
}

void read_class(reader& from, plan_list& into)
{
    service_class item;
    from.need_name("name", item.name);
    from.need_name("tier", item.tier);
    from.duration_ms("first_token_ms", item.first_token);
    from.duration_ms("between_tokens_ms", item.between_tokens);
    from.share("promised_attainment", item.promised_attainment);
    from.duration_ms("max_wait_ms", item.max_wait);
    from.count("max_output_tokens", item.max_output_tokens, 1);
    from.share("retry_ratio", item.retry_ratio);
    into.classes.push_back(std::move(item));
}

void read_limits(reader& from, usage_limits& into)
{
    from.rate("requests_per_second", into.requests_per_second);
    from.rate("tokens_per_second", into.tokens_per_second);
    from.count("concurrent_requests", into.concurrent_requests, 0);
}

void read_plan(reader& from, plan_list& into)
{
    plan item;
    from.need_name("name", item.name);
    from.names("classes", item.classes);
    from.object("team_limits", [&item](reader& limits) {
        read_limits(limits, item.team_limits);
    });
    into.plans.push_back(std::move(item));
}

void read_team(reader& from, customer& into)
{
    team item;
    from.need_name("name", item.name);
    from.need_name("plan", item.plan);
    from.objects("keys", [&item](reader& key) {
        api_key kept;
        key.need_name("id", kept.id);
        if (kept.id.find('.') != std::string::npos) {
            // The id ends at the key's first dot; this one is never found.
            key.note("id", "holds a dot", "leave the dot out of the id");
        }
        key.need_hex("salt", kept.salt, min_salt_digits, max_salt_digits);
        key.need_hex("sha256", kept.sha256, hash_digits, hash_digits);
        item.keys.push_back(std::move(kept));
    });
    into.teams.push_back(std::move(item));
}

void read_customer(reader& from, plan_list& into)
{
    customer item;
    from.need_name("name", item.name);
    from.objects("teams", [&item](reader& team_reader) {
        read_team(team_reader, item);
    });
    into.customers.push_back(std::move(item));
}

void read_model(reader& from, entitlement_list& into)
{
    model_entry item;
    from.need_name("name", item.name);
    from.count("context_tokens", item.context_tokens, 1);
    into.models.push_back(std::move(item));
}

void read_service(reader& from, entitlement_list& into)
{
    service_entry item;
    from.need_name("name", item.name);
    from.name("home_region", item.home_region);
    from.objects("calls", [&item](reader& call_reader) {
        service_call call;
        call_reader.need_name("method", call.method);
        if (!call.method.empty() && !is_method(call.method)) {
            call_reader.note("method",
                             "is not a method",
                             "write GET, HEAD, POST, PUT, PATCH or DELETE");
        }
        call_reader.need_text("path_prefix", call.path_prefix);
        if (!call.path_prefix.empty() && call.path_prefix.front() != '/') {
            call_reader.note("path_prefix",
                             "does not begin with a slash",
                             "write it as /path");
        }
        call_reader.boolean("repeatable", call.repeatable);
        item.calls.push_back(std::move(call));
    });
    into.services.push_back(std::move(item));
}

void read_entitlement(reader& from, entitlement_list& into)
{
    entitlement item;
    from.need_name("plan", item.plan);
    from.names("models", item.models);
    from.names("services", item.services);
    into.entitlements.push_back(std::move(item));
}

} // namespace

plan_list parse_plans(std::string_view text,
                      std::string const& file,
                      std::vector<fault>& faults)
{
    plan_list list;
    auto const root = parse_document(text, file, faults);
    if (!root) {
        return list;
    }
    reader top(*root, file, "", faults);
    top.objects("tiers", [&list](reader& item) {
        read_tier(item, list);
    });
    top.objects("classes", [&list](reader& item) {
        read_class(item, list);
    });
    top.objects("plans", [&list](reader& item) {
        read_plan(item, list);
    });
    top.objects("customers", [&list](reader& item) {
        read_customer(item, list);
    });
    top.refuse_unread();
    return list;
}

entitlement_list parse_entitlements(std::string_view text,
                                    std::string const& file,
                                    std::vector<fault>& faults)
{
    entitlement_list list;
    auto const root = parse_document(text, file, faults);
    if (!root) {
        return list;
    }
    reader top(*root, file, "", faults);
    top.objects("models", [&list](reader& item) {
        read_model(item, list);
    });
    top.objects("services", [&list](reader& item) {
        read_service(item, list);
    });
    top.objects("entitlements", [&list](reader& item) {
        read_entitlement(item, list);
    });
    top.refuse_unread();
    return list;
}

} // namespace caperjunction::lists
