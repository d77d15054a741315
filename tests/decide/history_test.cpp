#include "decide/decision_text.hpp"
#include "decide/digest.hpp"
#include "tests/decide/history.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace caperjunction;
using namespace caperjunction::tests;

// Requests of all tiers, cancellations, broken and refused attempts, lost and
// leaving engines and corrupt peer data arrive in any order. A violated
// guarantee reaches callers as a second charge, a wrong not-run, or no answer.
TEST_CASE("no sequence of events violates a guarantee to a caller")
{
    CHECK(rc::check("guarantees", [](std::uint64_t seed) {
        history sequence(seed);
        sequence.run(300);
        sequence.finish_all();
        if (!sequence.violations().empty()) {
            RC_FAIL(sequence.violations().front());
        }
    }));
}

TEST_CASE("the same events give the same decisions")
{
    CHECK(rc::check("determinism", [](std::uint64_t seed) {
        history first(seed);
        history second(seed);
        first.run(200);
        second.run(200);
        RC_ASSERT(first.decisions().size() == second.decisions().size());
        for (std::size_t position = 0; position < first.decisions().size();
             ++position) {
            RC_ASSERT(decide::to_text(first.decisions()[position])
                      == decide::to_text(second.decisions()[position]));
        }
    }));
}

TEST_CASE("arbitrary bytes decode to a complete digest or to none")
{
    CHECK(rc::check("decode", [](std::vector<std::uint8_t> const& bytes) {
        decide::digest decoded;
        if (decide::decode(bytes, decoded)) {
            RC_ASSERT(decide::encode(decoded) == bytes);
        }
    }));
}

TEST_CASE("a digest survives a round trip, and a changed byte is detected")
{
    CHECK(rc::check(
        "round trip", [](std::uint8_t count, std::size_t position_seed) {
            decide::digest original;
            original.region_hash = 77;
            for (std::uint32_t place = 0; place < count; ++place) {
                original.engines.push_back(
                    {place * 31, static_cast<std::uint16_t>(place)});
            }
            original.queues.push_back({5, 2, 17, 3});
            original.teams.push_back({9, 12.5F, 0.25F, 4});
            original.suspects.push_back({666, 2, 31, 60});
            std::vector<std::uint8_t> bytes = decide::encode(original);
            decide::digest decoded;
            RC_ASSERT(decide::decode(bytes, decoded));
            RC_ASSERT(decoded == original);
            bytes[position_seed % bytes.size()] ^= 0x10;
            RC_ASSERT(!decide::decode(bytes, decoded));
        }));
}
