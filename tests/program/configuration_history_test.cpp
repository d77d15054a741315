#include "program/configuration_history.hpp"

#include "proxy/text_packer.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <random>
#include <string>

using namespace caperjunction;

namespace {

/// A configuration of many routes with names that repeat nothing.
proxy::store_item many_routes(std::uint64_t revision, int timeout_ms)
{
    std::minstd_rand random(7);
    std::string text;
    for (int number = 0; number < 1'400; ++number) {
        text += fmt::format(R"({{"id":"r-{:x}","host":"{:x}.example",)"
                            R"("prefix":"/{:x}/","timeout_ms":{},)"
                            R"("route_type":"idempotent","attempts":2}},)",
                            random(),
                            random() % 40,
                            random(),
                            number == 700 ? timeout_ms : 5'000);
    }
    return {"op/config", text, revision, false};
}

} // namespace

// Each host of a data centre gets the text over a link that carries callers'
// answers too. Whole and as it is, twelve copies fill it for seconds.
TEST_CASE("a large configuration is told in a fraction of its size")
{
    program::configuration_history sender;
    sender.add(many_routes(10, 5'000));
    std::size_t const whole = sender.newest().value.size();
    CHECK(sender.pack(0).packed.size() * 5 < whole);
}

// A change of one line costs a line, not the whole text again.
TEST_CASE("a host that has the configuration before gets the difference")
{
    program::configuration_history sender;
    program::configuration_history receiver;
    sender.add(many_routes(10, 5'000));
    receiver.add(*receiver.unpack(sender.pack(0)));
    sender.add(many_routes(14, 4'000));

    auto const packed_item = sender.pack(receiver.revision());
    CHECK(packed_item.base == 10);
    CHECK(packed_item.packed.size() < 1'000);
    auto const unpacked = receiver.unpack(packed_item);
    REQUIRE(unpacked);
    CHECK(unpacked->value == sender.newest().value);
    CHECK(unpacked->revision == 14);
}

TEST_CASE("a host with a base that isn't known gets the whole text")
{
    program::configuration_history sender;
    sender.add(many_routes(10, 5'000));
    auto const packed_item = sender.pack(9);
    CHECK(packed_item.base == 0);
    program::configuration_history receiver;
    CHECK(receiver.unpack(packed_item)->value == sender.newest().value);
    // Of many changes the oldest bases are forgotten.
    for (std::uint64_t revision = 11; revision < 20; ++revision) {
        sender.add(many_routes(revision, 5'000));
    }
    CHECK(sender.pack(10).base == 0);
    CHECK(sender.pack(18).base == 18);
}

TEST_CASE("what was packed against a base that isn't here is refused")
{
    program::configuration_history sender;
    sender.add(many_routes(10, 5'000));
    sender.add(many_routes(14, 4'000));
    program::configuration_history receiver;
    CHECK(!receiver.unpack(sender.pack(10)));
}

TEST_CASE("any text comes out as it was packed, and no bytes end the host")
{
    CHECK(rc::check([](std::string const& text, std::string const& base) {
        auto const packed = proxy::pack_text(text, base);
        RC_ASSERT(proxy::unpack_text(packed, base, text.size()) == text);
        proxy::unpack_text(text, base, 1'000);
        if (!text.empty()) {
            RC_ASSERT(!proxy::unpack_text(packed, base, text.size() - 1));
        }
    }));
}
