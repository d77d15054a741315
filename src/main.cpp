#include "model/error.hpp"
#include "program/command_line.hpp"
#include "program/commands.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <exception>

int main(int argc, char** argv)
{
    constexpr int bad_start = 2;
    try {
        return caperjunction::program::run_command(
            caperjunction::program::read_command_line(argc, argv));
    } catch (caperjunction::model::error const& failure) {
        fmt::print(stderr,
                   "event=failed kind={} message=\"{}\" remedy=\"{}\"\n",
                   caperjunction::model::to_string(failure.kind()),
                   failure.what(),
                   failure.remedy());
    } catch (std::exception const& failure) {
        fmt::print(stderr,
                   "event=failed kind=unavailable message=\"{}\" "
                   "remedy=\"report this error with the log\"\n",
                   failure.what());
    }
    return bad_start;
}
