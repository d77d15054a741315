#include "decide/decision_text.hpp"
#include "decide/digest.hpp"
#include "tests/decide/history.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace caperjunction;
using namespace caperjunction::tests;

// Requests of all tiers, cancels, broken and refused attempts, lost and
// leaving engines and garbage from a peer come in any order. Callers would
// notice a broken promise as a second charge, a wrong not-run, or silence.
TEST_CASE("no history of events breaks a promise to a caller")
{
    CHECK(rc::check("promises", [](std::uint64_t seed) {
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

TEST_CASE("any bytes are either a whole digest or none")
{
    CHECK(rc::check("decode", [](std::vector<std::uint8_t> const& bytes) {
        decide::digest decoded;
        if (decide::decode(bytes, decoded)) {
            RC_ASSERT(decide::encode(decoded) == bytes);
        }
    }));
}

TEST_CASE("a digest is read as it was written, and not if a byte differs")
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
