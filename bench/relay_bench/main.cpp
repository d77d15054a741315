#include "bench/relay_bench/measure.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <filesystem>

ABSL_FLAG(std::string, format, "table", "table or json");

namespace {

void print(caperjunction::relay_bench::figures const& all, bool as_json)
{
    nlohmann::ordered_json const body{
        {"added_first_token_p50_ms", all.added_first_token_p50_ms},
        {"added_first_token_p99_ms", all.added_first_token_p99_ms},
        {"events_per_s_per_core", all.events_per_s_per_core},
        {"cpu_share_at_9000_events", all.cpu_share_at_9000_events},
        {"rss_mb_at_2000_streams", all.rss_mb_at_2000_streams},
        {"lost", all.lost},
        {"duplicated", all.duplicated},
        {"failed", all.failed}};
    if (as_json) {
        fmt::print("{}\n", body.dump());
        return;
    }
    for (auto const& [name, value] : body.items()) {
        fmt::print("{:<28} {}\n", name, value.dump());
    }
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Measures the relay: through the router and directly, to the same "
        "stand-in.");
    absl::ParseCommandLine(argc, argv);
    std::string const format = absl::GetFlag(FLAGS_format);
    if (format != "table" && format != "json") {
        fmt::print(stderr, "unknown --format; use table or json\n");
        return 2;
    }
    auto const folder =
        std::filesystem::read_symlink("/proc/self/exe").parent_path();
    print(caperjunction::relay_bench::measure(folder.string()),
          format == "json");
    return 0;
}
