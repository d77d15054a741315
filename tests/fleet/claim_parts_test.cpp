#include "fleet/claim_answers.hpp"
#include "fleet/claim_table.hpp"
#include "fleet/rendezvous.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

constexpr model::time_point start{std::chrono::hours(1)};

fleet::claim_attempt attempt(std::uint64_t number)
{
    return {"host-0", 1, number};
}

} // namespace

TEST_CASE("customer and key are hashed with a separator")
{
    CHECK_FALSE(fleet::make_claim_key("ab", "c")
                == fleet::make_claim_key("a", "bc"));
    CHECK(fleet::make_claim_key("a", "b") == fleet::make_claim_key("a", "b"));
}

TEST_CASE("stored answers are bounded and the oldest are evicted first")
{
    fleet::claim_answers answers(2'000, 600s);
    for (std::uint64_t number = 0; number < 10; ++number) {
        answers.put({0, number},
                    attempt(number),
                    {200, "text/plain", std::string(300, 'x')},
                    start);
        CHECK(answers.bytes() <= 2'000);
    }
    CHECK(answers.find({0, 0}, attempt(0)) == nullptr);
    CHECK(answers.find({0, 9}, attempt(9)) != nullptr);
    CHECK(answers.find({0, 9}, attempt(8)) == nullptr);
    answers.put(
        {0, 10}, attempt(10), {200, "", std::string(3'000, 'x')}, start);
    CHECK(answers.find({0, 10}, attempt(10)) == nullptr);
    answers.expire(start + 600s);
    CHECK(answers.bytes() == 0);
}

TEST_CASE("a claim expires at its expiry time, not before")
{
    fleet::claim_table memory;
    memory.put({0, 1},
               {attempt(1), 7, fleet::claim_state::running, start + 9s});
    memory.expire(start + 8s);
    REQUIRE(memory.find({0, 1}) != nullptr);
    memory.erase({0, 1}, attempt(2));
    CHECK(memory.find({0, 1}) != nullptr);
    memory.finish({0, 1}, attempt(1));
    memory.erase({0, 1}, attempt(1));
    CHECK(memory.find({0, 1}) != nullptr);
    memory.expire(start + 9s);
    CHECK(memory.size() == 0);
}

TEST_CASE("removing a name moves only the keys for which it ranks first")
{
    CHECK(rc::check("rendezvous moves little", [] {
        auto const count = *rc::gen::inRange<std::size_t>(2, 30);
        auto const key = *rc::gen::arbitrary<std::uint64_t>();
        std::vector<std::string> names;
        for (std::size_t index = 0; index < count; ++index) {
            names.push_back("host-" + std::to_string(index));
        }
        auto const removed = *rc::gen::inRange<std::size_t>(0, count);
        auto const before = fleet::rendezvous_owner(names, key);
        auto fewer = names;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(removed));
        std::reverse(fewer.begin(), fewer.end());
        auto const after = fleet::rendezvous_owner(fewer, key);
        RC_ASSERT(before == names[removed] || before == after);
        RC_ASSERT(std::find(fewer.begin(), fewer.end(), after) != fewer.end());
    }));
}
