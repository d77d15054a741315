#include "program/commands.hpp"

#include "model/error.hpp"
#include "net/upstream_client.hpp"
#include "program/build_version.hpp"
#include "program/check_command.hpp"
#include "program/flags.hpp"
#include "program/report.hpp"
#include "program/routed_flags.hpp"
#include "program/routed_host.hpp"
#include "program/serve.hpp"
#include "runtime/event_loop.hpp"

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include <array>
#include <string>

namespace caperjunction::program {
namespace {

constexpr char const* version = "0.1.0";

[[noreturn]] void refuse(std::string const& message, std::string const& remedy)
{
    throw model::error(model::error_kind::bad_settings, message, remedy);
}

int run_check(command_line const& line)
{
    return check_files(line.arguments);
}

/// Answer of a host's admin address.
struct admin_reply
{
    int status = 0;
    std::string body;
    bool reached = false;
};

admin_reply fetch(model::endpoint const& from, std::string const& path)
{
    runtime::event_loop loop;
    net::upstream_client client(loop, {});
    admin_reply answer;
    net::upstream_call call;
    call.to = from;
    call.method = "GET";
    call.path = path;
    client.start(call,
                 {[&answer](net::call_head const& head) {
                      answer.status = head.status;
                  },
                  [&answer](std::string_view bytes) {
                      answer.body.append(bytes);
                  },
                  [&](net::call_end end) {
                      answer.reached = end == net::call_end::complete;
                      loop.stop();
                  }});
    loop.run();
    return answer;
}

int print_answer(std::string const& path,
                 std::string (*to_table)(std::string const&))
{
    model::endpoint const from = absl::GetFlag(FLAGS_admin).value;
    std::string const format = absl::GetFlag(FLAGS_format);
    if (format != "table" && format != "json") {
        refuse("--format is neither table nor json", "set it to table or json");
    }
    admin_reply const answer = fetch(from, path);
    if (!answer.reached) {
        throw model::error(
            model::error_kind::unavailable,
            fmt::format("no host responds at {}:{}", from.address, from.port),
            "set --admin to the host's admin address");
    }
    fmt::print("{}", format == "json" ? answer.body : to_table(answer.body));
    return answer.status == 200 ? 0 : 1;
}

int run_explain(command_line const& line)
{
    if (line.arguments.size() != 1) {
        refuse("explain requires one request id",
               "run caperjunction explain ID");
    }
    return print_answer("/explain?id=" + line.arguments[0], explain_table);
}

int run_status(command_line const& /*line*/)
{
    return print_answer("/status", status_table);
}

int run_serve(command_line const& /*line*/)
{
    return serve(load_settings());
}

int run_route(command_line const& /*line*/)
{
    return serve_routes(load_routed_settings());
}

int run_version(command_line const& /*line*/)
{
    fmt::print("caperjunction {} ({})\n", version, build_version());
    return 0;
}

struct command
{
    char const* name;
    int (*run)(command_line const&);
};

constexpr std::array<command, 6> commands{{
    {"serve", run_serve},
    {"route", run_route},
    {"check", run_check},
    {"explain", run_explain},
    {"status", run_status},
    {"version", run_version},
}};

} // namespace

int run_command(command_line const& line)
{
    for (command const& item : commands) {
        if (line.command == item.name) {
            return item.run(line);
        }
    }
    refuse(line.command.empty() ? "no command was given"
                                : "unknown command " + line.command,
           "use serve, route, check, explain, status or version; see --help");
}

} // namespace caperjunction::program
