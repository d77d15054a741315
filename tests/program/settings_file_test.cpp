#include "program/settings_file.hpp"

#include "model/error.hpp"
#include "program/file_watch.hpp"
#include "program/flags.hpp"
#include "program/routed_flags.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <doctest/doctest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

using namespace caperjunction;

namespace {

/// Temporary file that is removed at the end of the test.
struct temporary_file
{
    std::string path =
        (std::filesystem::temp_directory_path()
         / ("caperjunction-settings-"
            + std::to_string(reinterpret_cast<std::uintptr_t>(this))))
            .string();

    explicit temporary_file(std::string const& text)
    {
        write(text);
    }

    ~temporary_file()
    {
        std::remove(path.c_str());
    }

    temporary_file(temporary_file const&) = delete;
    temporary_file& operator=(temporary_file const&) = delete;

    void write(std::string const& text) const
    {
        std::ofstream(path) << text;
    }
};

std::string remedy_of(std::string const& text)
{
    absl::FlagSaver const saved;
    temporary_file const file(text);
    try {
        program::apply_settings_file(file.path);
        program::load_routed_settings();
    } catch (model::error const& failure) {
        CHECK(failure.kind() == model::error_kind::bad_settings);
        return failure.remedy();
    }
    return "";
}

std::string const required_settings =
    "--host_name=h\n--region=west\n--data_centre=a\n"
    "--platform=10.0.0.1:80\n";

} // namespace

TEST_CASE("a settings file sets flags and skips comments and empty lines")
{
    absl::FlagSaver const saved;
    temporary_file const file(
        "# about\n\n" + required_settings
        + "--regions={\"a\":\"west\",\"b\":\"east\"}\n"
          "--key_lifetime=4s\n--seeds=10.0.0.2:1,10.0.0.3:2\n"
          "--seed_port=7000\n--retry_ratio=0.1\n");
    program::apply_settings_file(file.path);
    auto const read = program::load_routed_settings();
    CHECK(read.host_name == "h");
    CHECK(read.regions.at("b") == "east");
    CHECK(read.relay.key_lifetime == std::chrono::seconds(4));
    REQUIRE(read.relay.seeds.size() == 2);
    CHECK(read.relay.seeds[1] == model::endpoint{"10.0.0.3", 7'000});
    CHECK(read.relay.retry_ratio == doctest::Approx(0.1));
}

TEST_CASE("invalid settings are rejected with a remedy")
{
    CHECK(remedy_of(required_settings).empty());
    for (char const* const bad : {"--nosuch=1\n",
                                  "words\n",
                                  "--key_lifetime=soon\n",
                                  "--key_lifetime=1ms\n",
                                  "--retry_ratio=2\n",
                                  "--retry_extra=-1\n",
                                  "--regions=[]\n",
                                  "--regions={\"a\":1}\n",
                                  "--seeds=nowhere\n",
                                  "--host_name=\n"}) {
        CAPTURE(bad);
        CHECK(!remedy_of(required_settings + bad).empty());
    }
    CHECK_THROWS_AS(program::apply_settings_file("/no/such/file"),
                    model::error);
}

// The platform may rewrite the settings without a signal. A host that relies on
// the signal keeps outdated limits until its next restart.
TEST_CASE("a rewritten settings file is detected once")
{
    temporary_file const file("--host_name=a\n");
    program::file_watch watch(file.path);
    CHECK(!watch.has_changed());
    file.write("--host_name=longer\n");
    CHECK(watch.has_changed());
    CHECK(!watch.has_changed());
    std::remove(file.path.c_str());
    CHECK(!watch.has_changed());
    program::file_watch none("");
    CHECK(!none.has_changed());
}
