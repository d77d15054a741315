#include "decide/replay.hpp"

#include "decide/decision_text.hpp"
#include "decide/router.hpp"
#include "decide/session_line.hpp"

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace caperjunction::decide {

namespace {

class session_player
{
public:
    void play(session_line const& line)
    {
        advance_to(line.milliseconds());
        if (!add_definition(line)) {
            handle_event(line);
        }
    }

    std::string release_log()
    {
        return std::move(m_log);
    }

private:
    // Sends ticks up to the time; the router expects one per tick period.
    void advance_to(std::uint64_t milliseconds)
    {
        model::time_point const target =
            start + model::milliseconds{milliseconds};
        while (m_now + router::tick_period < target) {
            m_now += router::tick_period;
            handle(tick{});
        }
        m_now = std::max(m_now, target);
    }

    bool add_definition(session_line const& line)
    {
        std::string const& verb = line.verb();
        if (verb == "tier") {
            auto const rank = static_cast<std::uint32_t>(m_plans.tiers.size());
            m_plans.tiers.push_back(
                {line.text("name"), rank, line.real("share", 0.0)});
        } else if (verb == "class") {
            add_class(line);
        } else if (verb == "engine") {
            add_engine(line);
        } else if (verb == "service") {
            model::service_instance added;
            added.service = line.text("service");
            added.name = line.text("name");
            added.region = line.text("region", default_region);
            m_upstreams.services.push_back(added);
        } else {
            return false;
        }
        return true;
    }

    void add_class(session_line const& line)
    {
        lists::service_class added;
        added.name = line.text("name");
        added.tier = line.text("tier");
        added.first_token_target =
            model::milliseconds{line.number("first_token", 490)};
        added.max_wait = model::milliseconds{line.number("max_wait", 5000)};
        m_plans.classes.push_back(added);
    }

    void add_engine(session_line const& line)
    {
        model::engine added;
        added.name = line.text("name");
        added.region = line.text("region", default_region);
        added.models = {line.text("model")};
        added.slots = static_cast<std::uint32_t>(line.number("slots", 0));
        m_upstreams.engines.push_back(added);
    }

    void handle_event(session_line const& line)
    {
        std::string const& verb = line.verb();
        model::request_id const id{line.number("id", 0)};
        if (verb == "lists") {
            handle(lists_changed{std::make_shared<lists::catalogue const>(
                m_plans, lists::entitlement_list{})});
        } else if (verb == "upstreams") {
            handle(upstreams_changed{m_upstreams});
        } else if (verb == "arrive") {
            handle(request_arrived{read_request(line)});
        } else if (verb == "tokens") {
            handle(tokens_relayed{
                id, static_cast<std::uint32_t>(line.number("count", 1))});
        } else if (verb == "end") {
            handle(attempt_ended{
                id,
                line.text("upstream"),
                read_end(line),
                static_cast<std::uint32_t>(line.number("relayed", 0)),
                0});
        } else if (verb == "cancel") {
            handle(request_cancelled{id});
        } else if (verb == "lost") {
            handle(engine_lost{line.text("engine")});
        } else if (verb == "tick") {
            handle(tick{});
        } else {
            line.fail("unknown verb " + verb);
        }
    }

    request read_request(session_line const& line) const
    {
        request parsed;
        parsed.id = {line.number("id", 0)};
        parsed.customer = line.text("customer", "customer");
        parsed.team = line.text("team", "team");
        parsed.plan = line.text("plan", "plan");
        parsed.service_class = line.text("class");
        parsed.model = line.text("model");
        parsed.service = line.text("service");
        parsed.prompt_tokens =
            static_cast<std::uint32_t>(line.number("prompt", 100));
        parsed.max_output_tokens =
            static_cast<std::uint32_t>(line.number("output", 100));
        parsed.fingerprint = line.number("fingerprint", parsed.id.value);
        parsed.repeatable = line.number("repeatable", 1) != 0;
        parsed.arrived = m_now;
        return parsed;
    }

    static attempt_end read_end(session_line const& line)
    {
        static std::map<std::string, attempt_end> const s_ends{
            {"complete", attempt_end::complete},
            {"refused", attempt_end::refused},
            {"unreachable", attempt_end::unreachable},
            {"broken", attempt_end::broken},
            {"failed", attempt_end::failed},
            {"cancelled", attempt_end::cancelled}};
        auto const found = s_ends.find(line.text("how"));
        if (found == s_ends.end()) {
            line.fail("unknown end");
        }
        return found->second;
    }

    void handle(event const& input)
    {
        std::vector<decision> out;
        m_router.handle(input, m_now, out);
        auto const now =
            std::chrono::duration_cast<model::milliseconds>(m_now - start);
        for (decision const& result : out) {
            m_log += std::to_string(now.count()) + ' ' + to_text(result) + '\n';
        }
    }

    static constexpr char const* default_region = "west";
    static constexpr model::time_point start{std::chrono::hours{1}};

    router m_router{{"host-1", default_region, "west-a", 1}};
    model::time_point m_now = start;
    lists::plan_list m_plans;
    model::upstream_list m_upstreams;
    std::string m_log;
};

} // namespace

std::string replay(std::string_view session)
{
    session_player player;
    std::size_t number = 0;
    while (!session.empty()) {
        std::size_t const end = std::min(session.find('\n'), session.size());
        std::string_view const line = session.substr(0, end);
        session.remove_prefix(std::min(end + 1, session.size()));
        ++number;
        if (!line.empty() && line.front() != '#') {
            player.play(session_line(line, number));
        }
    }
    return player.release_log();
}

} // namespace caperjunction::decide
