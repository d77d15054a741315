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

class player
{
public:
    void play(session_line const& line)
    {
        pass_until(line.milliseconds());
        if (!describe(line)) {
            feed(line);
        }
    }

    std::string take_log()
    {
        return std::move(m_log);
    }

private:
    // The router is told of time at least this often.
    void pass_until(std::uint64_t milliseconds)
    {
        model::time_point const until =
            start + model::milliseconds{milliseconds};
        while (m_now + router::tick_period < until) {
            m_now += router::tick_period;
            handle(tick{});
        }
        m_now = std::max(m_now, until);
    }

    bool describe(session_line const& line)
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
            model::service_instance made;
            made.service = line.text("service");
            made.name = line.text("name");
            made.region = line.text("region", home);
            m_upstreams.services.push_back(made);
        } else {
            return false;
        }
        return true;
    }

    void add_class(session_line const& line)
    {
        lists::service_class made;
        made.name = line.text("name");
        made.tier = line.text("tier");
        made.first_token_target =
            model::milliseconds{line.number("first_token", 490)};
        made.max_wait = model::milliseconds{line.number("max_wait", 5000)};
        m_plans.classes.push_back(made);
    }

    void add_engine(session_line const& line)
    {
        model::engine made;
        made.name = line.text("name");
        made.region = line.text("region", home);
        made.models = {line.text("model")};
        made.slots = static_cast<std::uint32_t>(line.number("slots", 0));
        m_upstreams.engines.push_back(made);
    }

    void feed(session_line const& line)
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
        request made;
        made.id = {line.number("id", 0)};
        made.customer = line.text("customer", "customer");
        made.team = line.text("team", "team");
        made.plan = line.text("plan", "plan");
        made.service_class = line.text("class");
        made.model = line.text("model");
        made.service = line.text("service");
        made.prompt_tokens =
            static_cast<std::uint32_t>(line.number("prompt", 100));
        made.max_output_tokens =
            static_cast<std::uint32_t>(line.number("output", 100));
        made.fingerprint = line.number("fingerprint", made.id.value);
        made.repeatable = line.number("repeatable", 1) != 0;
        made.arrived = m_now;
        return made;
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

    void handle(event const& happened)
    {
        std::vector<decision> out;
        m_router.handle(happened, m_now, out);
        auto const now =
            std::chrono::duration_cast<model::milliseconds>(m_now - start);
        for (decision const& made : out) {
            m_log += std::to_string(now.count()) + ' ' + to_text(made) + '\n';
        }
    }

    static constexpr char const* home = "west";
    static constexpr model::time_point start{std::chrono::hours{1}};

    router m_router{{"host-1", home, "west-a", 1}};
    model::time_point m_now = start;
    lists::plan_list m_plans;
    model::upstream_list m_upstreams;
    std::string m_log;
};

} // namespace

std::string replay(std::string_view session)
{
    player own;
    std::size_t number = 0;
    while (!session.empty()) {
        std::size_t const end = std::min(session.find('\n'), session.size());
        std::string_view const line = session.substr(0, end);
        session.remove_prefix(std::min(end + 1, session.size()));
        ++number;
        if (!line.empty() && line.front() != '#') {
            own.play(session_line(line, number));
        }
    }
    return own.take_log();
}

} // namespace caperjunction::decide
