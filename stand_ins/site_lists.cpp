#include "stand_ins/site_lists.hpp"

#include "lists/key_hash.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace caperjunction::stand_ins {
namespace {

using nlohmann::json;

constexpr char const* salt = "0123456789abcdef0123456789abcdef";
constexpr int slots_per_engine = 256;

json address_of(model::endpoint const& address)
{
    return {{"address", address.address}, {"port", address.port}};
}

json location_of(site_member const& member)
{
    return {
        {"name", member.name}, {"region", "west"}, {"data_centre", "west-a"}};
}

json team(char const* name, char const* plan, char const* key)
{
    return {{"name", name},
            {"plan", plan},
            {"keys",
             {{{"id", std::string(lists::key_id(key))},
               {"salt", salt},
               {"sha256", lists::hash_key(salt, key)}}}}};
}

} // namespace

std::string site_plans()
{
    json const classes{{{"name", "questions"},
                        {"tier", "top"},
                        {"max_wait_ms", 3000},
                        {"first_token_ms", 5000},
                        {"between_tokens_ms", 5000},
                        {"max_output_tokens", 100'000},
                        {"retry_ratio", 1.0}}};
    json const plans{{{"name", "gold"}, {"classes", {"questions"}}},
                     {{"name", "poor"}, {"classes", {"questions"}}}};
    json const teams{team("desk", "gold", site_key),
                     team("poor", "poor", site_unentitled_key)};
    json const all{
        {"tiers", {{{"name", "top"}, {"rank", 0}, {"guaranteed_share", 0.5}}}},
        {"classes", classes},
        {"plans", plans},
        {"customers", {{{"name", "cellar"}, {"teams", teams}}}}};
    return all.dump();
}

std::string site_entitlements()
{
    return R"({"models":[{"name":"drafter"},{"name":"absent"}],
    "services":[{"name":"ledger","home_region":"west","calls":[
      {"method":"POST","path_prefix":"/reserve","repeatable":false},
      {"method":"GET","path_prefix":"/","repeatable":true}]}],
    "entitlements":[{"plan":"gold","models":["drafter","absent"],
                     "services":["ledger"]}]})";
}

std::string site_hosts(std::vector<site_member> const& hosts)
{
    json list = json::array();
    for (site_member const& host : hosts) {
        json item = location_of(host);
        item["callers"] = address_of(host.address);
        item["peers"] = address_of(host.peers);
        list.push_back(item);
    }
    return json{{"hosts", list}}.dump();
}

std::string site_upstreams(std::vector<site_member> const& engines,
                           std::vector<site_member> const& ledgers)
{
    json engine_list = json::array();
    for (site_member const& engine : engines) {
        json item = location_of(engine);
        item["address"] = address_of(engine.address);
        item["models"] = {site_model};
        item["slots"] = slots_per_engine;
        engine_list.push_back(item);
    }
    json service_list = json::array();
    for (site_member const& ledger : ledgers) {
        json item = location_of(ledger);
        item["address"] = address_of(ledger.address);
        item["service"] = "ledger";
        service_list.push_back(item);
    }
    return json{{"engines", engine_list}, {"services", service_list}}.dump();
}

} // namespace caperjunction::stand_ins
