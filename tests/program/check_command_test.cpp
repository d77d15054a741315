#include "model/error.hpp"
#include "program/check_command.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;

namespace {

std::string example(std::string const& file)
{
    return std::string(SOURCE_ROOT) + "/examples/" + file;
}

} // namespace

TEST_CASE("the examples pass the offline check, alone and with the platform")
{
    for (std::string const folder : {"kitanomine", "gangasagar"}) {
        std::vector<std::string> files{example(folder + "/plans.json"),
                                       example(folder + "/entitlements.json")};
        CHECK(program::check_files(files) == 0);
        files.push_back(example(folder + "/hosts.json"));
        files.push_back(example(folder + "/upstreams.json"));
        CHECK(program::check_files(files) == 0);
    }
}

// The lists of one deployment are checked against the other's platform: none
// of the models, services or regions is there.
TEST_CASE("the offline check fails over what the platform does not list")
{
    CHECK(program::check_files({example("kitanomine/plans.json"),
                                example("kitanomine/entitlements.json"),
                                example("gangasagar/hosts.json"),
                                example("gangasagar/upstreams.json")})
          == 1);
    CHECK(program::check_files({example("kitanomine/plans.json"),
                                example("gangasagar/entitlements.json")})
          == 1);
}

TEST_CASE("a file that cannot be read is an error that names it")
{
    CHECK_THROWS_AS(program::check_files({example("none.json")}), model::error);
    CHECK_THROWS_WITH_AS(program::check_files({"none.json", "none.json"}),
                         "cannot read none.json, or it is empty",
                         model::error);
}
