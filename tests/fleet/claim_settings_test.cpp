#include "fleet/claim_settings.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;

TEST_CASE("the default times of claims are consistent")
{
    fleet::claim_settings const settings;
    CHECK(settings.maturity >= settings.min_maturity());
    CHECK(settings.grant_lease < settings.retention / 2);
    CHECK(settings.claim_timeout < settings.grant_lease);
}
