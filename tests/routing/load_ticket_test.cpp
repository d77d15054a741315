#include "routing/load_ticket.hpp"

#include "routing/support.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace caperjunction;
using namespace caperjunction::test;
using routing::load_ticket;

namespace {

/// An engine and a chat of 700 tokens, of which 150 are shared and uncached.
struct ticket_fixture
{
    routing::upstream_ptr engine = std::make_shared<routing::upstream_state>();
    routing::prompt prompt;
    routing::pick_request request;
    routing::pick chosen;

    ticket_fixture()
    {
        prompt.parts = {{1, 150}, {2, 550}};
        prompt.tokens = 700;
        request.prompt = &prompt;
        request.is_most_urgent = true;
        chosen.to = engine;
        chosen.uncached_tokens = 150;
        chosen.nominal_forecast = 100ms;
    }

    bool has_load() const
    {
        return engine->own.running != 0 || engine->own.urgent != 0
               || engine->own.pending_prefill_tokens != 0;
    }
};

} // namespace

TEST_CASE("a request is counted until it ends, its prompt until it is read")
{
    ticket_fixture fixture;
    load_ticket ticket(fixture.chosen, fixture.request, start);
    CHECK(fixture.engine->own.running == 1);
    CHECK(fixture.engine->own.urgent == 1);
    CHECK(fixture.engine->own.pending_prefill_tokens == 700);
    ticket.record_first_event(start + 200ms);
    ticket.record_first_event(start + 300ms);
    CHECK(fixture.engine->own.running == 1);
    CHECK(fixture.engine->own.pending_prefill_tokens == 0);
    CHECK(fixture.engine->own_performance.performance(start + 200ms).slowdown
          > 1.0);
    ticket.end();
    ticket.end();
    CHECK(!fixture.has_load());
}

// Guards against engines that appear loaded for ever after requests were lost.
TEST_CASE("a request that is dropped or sent again leaves no load behind")
{
    ticket_fixture fixture;
    {
        load_ticket ticket(fixture.chosen, fixture.request, start);
        load_ticket moved = std::move(ticket);
        CHECK(fixture.engine->own.running == 1);
        moved = load_ticket(fixture.chosen, fixture.request, start);
        CHECK(fixture.engine->own.running == 1);
    }
    CHECK(!fixture.has_load());
}
