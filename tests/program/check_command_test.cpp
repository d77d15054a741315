#include "model/error.hpp"
#include "program/check_command.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;

namespace {

std::string example_path(std::string const& file)
{
    return std::string(SOURCE_ROOT) + "/examples/" + file;
}

} // namespace

TEST_CASE("the examples pass the offline check, alone and with the platform")
{
    for (std::string const folder : {"kitanomine", "gangasagar"}) {
        std::vector<std::string> files{
            example_path(folder + "/plans.json"),
            example_path(folder + "/entitlements.json")};
        CHECK(program::check_files(files) == 0);
        files.push_back(example_path(folder + "/hosts.json"));
        files.push_back(example_path(folder + "/upstreams.json"));
        CHECK(program::check_files(files) == 0);
    }
}

// Checks the lists of one deployment against the platform of the other, which
// has none of the models, services and regions.
TEST_CASE("the offline check fails for names that the platform does not list")
{
    CHECK(program::check_files({example_path("kitanomine/plans.json"),
                                example_path("kitanomine/entitlements.json"),
                                example_path("gangasagar/hosts.json"),
                                example_path("gangasagar/upstreams.json")})
          == 1);
    CHECK(program::check_files({example_path("kitanomine/plans.json"),
                                example_path("gangasagar/entitlements.json")})
          == 1);
}

TEST_CASE("the error for an unreadable file contains its name")
{
    CHECK_THROWS_AS(program::check_files({example_path("none.json")}),
                    model::error);
    CHECK_THROWS_WITH_AS(program::check_files({"none.json", "none.json"}),
                         "cannot read none.json, or it is empty",
                         model::error);
}
