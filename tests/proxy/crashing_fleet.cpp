#include "proxy/crashing_fleet.hpp"

#include <algorithm>

namespace caperjunction::test {
namespace {

/// Time from the head of an answer to the crash of its engine.
constexpr model::milliseconds time_to_crash{30};

std::string event_of(int id, std::string const& text)
{
    return chunk("id: " + std::to_string(id) + "\ndata: " + text + "\n\n");
}

std::string prompt_of(shared_parts const& parts, int own)
{
    std::string text;
    for (std::string const& part : parts) {
        text += part + ":40,";
    }
    return text + "f" + std::to_string(own) + ":10";
}

std::size_t engine_of(received const& request)
{
    // Named i-1, i-2 and so on.
    constexpr std::size_t prefix = 2;
    return std::stoul(request.head.find("Expect-Instance")->substr(prefix)) - 1;
}

} // namespace

crashing_fleet::crashing_fleet(std::vector<std::string> const& data_centres,
                               std::size_t engines,
                               std::size_t others)
    : fleet(data_centres, engines, others)
    , m_others(others)
{
    fleet.answer = [this](received const& request) {
        return answer(request);
    };
    for (std::size_t engine = 0; engine < engines; ++engine) {
        fleet.set_version(engine, "v1");
    }
}

void crashing_fleet::add_host(std::string const& data_centre)
{
    std::vector<model::endpoint> seeds;
    for (auto const& host : fleet.hosts) {
        if (host) {
            seeds.push_back(host->context.settings.peer_listen);
        }
    }
    fleet.hosts.push_back(std::make_unique<host_fleet::host>(
        fleet, data_centre, seeds, m_others));
    for (std::size_t engine = 0; engine < fleet.upstreams.size(); ++engine) {
        fleet.set_version(engine, "v1");
    }
}

bool crashing_fleet::is_guilty(std::string const& prompt) const
{
    return std::any_of(crashing_parts.begin(),
                       crashing_parts.end(),
                       [&prompt](std::string const& part) {
                           return ("," + prompt).find("," + part + ":")
                                  != std::string::npos;
                       });
}

void crashing_fleet::end_later(std::size_t engine)
{
    fleet.loop.after(time_to_crash, [this, engine] {
        crashes.push_back(fleet.loop.now());
        if (m_ended.insert(engine).second) {
            ends.push_back(fleet.loop.now());
        }
        crash(engine);
    });
}

script crashing_fleet::answer_plain(received const& request) const
{
    std::string const* const id = request.head.find("Attempt-Id");
    std::string whole = valid_answer("done");
    constexpr std::string_view mark = "@ID@";
    whole.replace(whole.find(mark), mark.size(), *id);
    script plain;
    plain.remainder = whole;
    plain.delay = work;
    return plain;
}

script crashing_fleet::answer(received const& request)
{
    if (crashing_bodies.count(request.body) > 0) {
        m_arrivals.push_back(fleet.loop.now());
        end_later(engine_of(request));
        return {};
    }
    auto const* const prompt = request.head.find("Prompt-Prefix");
    if (prompt != nullptr && is_guilty(*prompt)) {
        if (!crashes_engines) {
            script broken{stream_head()};
            broken.resets = true;
            return broken;
        }
        end_later(engine_of(request));
        return {stream_head()};
    }
    if (prompt == nullptr && request.head.target.rfind("/stream/", 0) != 0) {
        return answer_plain(request);
    }
    script sound{stream_head() + event_of(1, "begun")};
    sound.remainder = event_of(2, "done") + "0\r\n\r\n";
    sound.delay = 150ms;
    return sound;
}

void crashing_fleet::crash(std::size_t engine)
{
    bool const is_silent = way == crash_way::falls_silent;
    fleet.set_upstream(engine,
                       is_silent ? path_state::silent : path_state::resetting);
    fleet.loop.after(repair, [this, engine] {
        m_ended.erase(engine);
        fleet.set_upstream(engine, path_state::resetting);
        fleet.set_version(engine, "v1");
        fleet.set_upstream(engine, path_state::open);
    });
}

void crashing_fleet::send(std::string const& path, shared_parts const& parts)
{
    int const number = ++m_next_id;
    std::size_t host = static_cast<std::size_t>(number) % fleet.hosts.size();
    host = only_host.value_or(host);
    while (!fleet.hosts[host]) {
        host = (host + 1) % fleet.hosts.size();
    }
    std::string const prompt = prompt_of(parts, number);
    std::string const head =
        "Model: m\r\nToken-Usage: 90,5\r\nPrompt-Prefix: " + prompt + "\r\n";
    std::string const id = "p" + std::to_string(number);
    requests.push_back({fleet.send(host, path, id, head, "body of " + id),
                        parts,
                        is_guilty(prompt)});
}

first_try crashing_fleet::repeat(std::size_t host,
                                 repeated_request const& repeated)
{
    std::string const id = "w" + std::to_string(++m_next_id);
    return fleet.send(host, repeated.path, id, "", repeated.body, repeated.key);
}

std::vector<first_try> crashing_fleet::repeat_in_turn(
    repeated_request const& repeated, int times, model::milliseconds gap)
{
    std::vector<first_try> tries;
    for (int number = 0; number < times; ++number) {
        std::size_t host =
            static_cast<std::size_t>(number) % fleet.hosts.size();
        host = only_host.value_or(host);
        if (fleet.hosts[host]) {
            tries.push_back(repeat(host, repeated));
        }
        fleet.run_for(gap);
    }
    return tries;
}

std::size_t crashing_fleet::late_arrivals(model::milliseconds grace) const
{
    return arrivals_after(crashes, grace);
}

std::size_t
crashing_fleet::arrivals_after_third_end(model::milliseconds grace) const
{
    return arrivals_after(ends, grace);
}

std::size_t
crashing_fleet::arrivals_after(std::vector<model::time_point> const& crashes,
                               model::milliseconds grace) const
{
    constexpr std::size_t graced_crashes = 3;
    if (crashes.size() < graced_crashes) {
        return 0;
    }
    auto const since = crashes[graced_crashes - 1] + grace;
    return static_cast<std::size_t>(
        std::count_if(m_arrivals.begin(), m_arrivals.end(), [since](auto at) {
            return at > since;
        }));
}

std::size_t crashing_fleet::guilty_runs() const
{
    return guilty_runs_since({});
}

std::size_t crashing_fleet::guilty_runs_since(model::time_point since) const
{
    std::size_t runs = 0;
    for (prompt_request const& item : requests) {
        if (item.is_guilty && item.made.sent_at >= since) {
            runs += fleet.runs_of(item.made.id);
        }
    }
    return runs;
}

std::vector<crashing_fleet::prompt_request>
crashing_fleet::sound_since(model::time_point since) const
{
    std::vector<prompt_request> list;
    std::copy_if(requests.begin(),
                 requests.end(),
                 std::back_inserter(list),
                 [since](prompt_request const& item) {
                     return !item.is_guilty && item.made.sent_at >= since;
                 });
    return list;
}

double share_served(std::vector<crashing_fleet::prompt_request> const& requests)
{
    auto const served =
        std::count_if(requests.begin(), requests.end(), [](auto const& item) {
            return item.made.is_served();
        });
    return static_cast<double>(served)
           / static_cast<double>(std::max<std::size_t>(1, requests.size()));
}

bool is_refused_for_parts(crashing_fleet::prompt_request const& request)
{
    return request.made.caller->received_bytes.find("\"part_")
           != std::string::npos;
}

bool is_quarantined(first_try const& made)
{
    return made.caller->received_bytes.find("quarantined") != std::string::npos;
}

std::size_t refused(std::vector<crashing_fleet::prompt_request> const& requests)
{
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(), [](auto const& item) {
            return item.made.says_not_run();
        }));
}

} // namespace caperjunction::test
