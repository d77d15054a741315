#include "bench/fleet_bench/bench_lists.hpp"

#include "lists/check.hpp"
#include "lists/parse.hpp"

#include <fmt/format.h>

namespace caperjunction::bench {
namespace {

constexpr std::size_t salt_digits = 16;
constexpr std::size_t hash_digits = 64;

} // namespace

bench_lists::bench_lists(std::size_t teams, std::uint64_t seed)
    : m_random(seed)
{
    for (std::size_t index = 0; index < teams; ++index) {
        m_salts.push_back(random_hex(salt_digits));
        m_hashes.push_back(random_hex(hash_digits));
    }
}

std::string bench_lists::random_hex(std::size_t digits)
{
    std::uniform_int_distribution<int> digit(0, 15);
    std::string text;
    for (std::size_t index = 0; index < digits; ++index) {
        text += "0123456789abcdef"[digit(m_random)];
    }
    return text;
}

void bench_lists::change_one_key()
{
    std::uniform_int_distribution<std::size_t> team(0, m_hashes.size() - 1);
    std::size_t const changed = team(m_random);
    m_salts[changed] = random_hex(salt_digits);
    m_hashes[changed] = random_hex(hash_digits);
}

std::string bench_lists::plans() const
{
    std::string text = R"({"tiers":[
{"name":"gold","rank":0,"guaranteed_share":0.5},
{"name":"green","rank":1,"guaranteed_share":0.1}],
"classes":[{"name":"chat","tier":"gold"},{"name":"draft","tier":"green"}],
"plans":[{"name":"full","classes":["chat","draft"]}],
"customers":[{"name":"group","teams":[)";
    for (std::size_t index = 0; index < m_hashes.size(); ++index) {
        text += fmt::format(
            "{}\n{{\"name\":\"team-{:04}\",\"plan\":\"full\",\"keys\":[{{"
            "\"id\":\"k{:04}\",\"salt\":\"{}\",\"sha256\":\"{}\"}}]}}",
            index == 0 ? "" : ",",
            index,
            index,
            m_salts[index],
            m_hashes[index]);
    }
    return text + "]}]}\n";
}

std::string bench_lists::entitlements()
{
    return R"({"models":[{"name":"m1"}],"services":[],
"entitlements":[{"plan":"full","models":["m1"],"services":[]}]}
)";
}

std::vector<lists::fault> check_lists(fleet::value_bodies const& bodies)
{
    std::vector<lists::fault> faults;
    if (bodies.plans == nullptr || bodies.entitlements == nullptr) {
        return faults;
    }
    auto const plans = lists::parse_plans(*bodies.plans, "plans", faults);
    auto const uses =
        lists::parse_entitlements(*bodies.entitlements, "entitlements", faults);
    if (faults.empty()) {
        faults = lists::check(plans, uses);
    }
    return faults;
}

} // namespace caperjunction::bench
