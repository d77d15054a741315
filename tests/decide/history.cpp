#include "tests/decide/history.hpp"

namespace caperjunction::tests {

namespace {

constexpr char const* class_names[] = {"counter", "desk", "office"};

// No guaranteed shares, so that the order of tiers is strict.
std::shared_ptr<lists::catalogue const> strict_catalogue()
{
    lists::plan_list plans = small_catalogue()->plans();
    for (lists::tier& tier : plans.tiers) {
        tier.guaranteed_share = 0.0;
    }
    return std::make_shared<lists::catalogue const>(plans,
                                                    lists::entitlement_list{});
}

std::uint32_t tier_of(decide::request const& request)
{
    return request.service_class == "counter" ? 0
           : request.service_class == "desk"  ? 1
                                              : 2;
}

} // namespace

history::history(std::uint64_t seed)
    : m_random(seed)
{
    m_session.handle(decide::lists_changed{strict_catalogue()});
    model::service_instance ledger;
    ledger.service = "ledger";
    ledger.name = "ledger-1";
    ledger.region = "west";
    m_session.upstreams.services.push_back(ledger);
    ledger.name = "ledger-2";
    m_session.upstreams.services.push_back(ledger);
    m_session.add_engines(1 + random_below(4),
                          1 + static_cast<std::uint32_t>(random_below(4)));
    m_session.out.clear();
}

void history::run(std::size_t count)
{
    for (std::size_t made = 0; made < count; ++made) {
        step();
    }
}

void history::step()
{
    switch (random_below(16)) {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
        add_request();
        break;
    case 5:
    case 6:
        relay_tokens();
        break;
    case 7:
    case 8:
        end_random_attempt();
        break;
    case 9:
        cancel_request();
        break;
    case 10:
        random_below(4) == 0 ? lose_engine() : report_load();
        break;
    case 11:
        receive_digest();
        break;
    case 12:
        random_below(8) == 0 ? change_upstreams() : report_load();
        break;
    default:
        m_session.now += model::milliseconds(random_below(200));
        handle(decide::tick{});
        break;
    }
}

void history::finish_all()
{
    for (int round = 0; round < 200 && has_unfinished(); ++round) {
        for (auto& [id, one] : m_requests) {
            if (one.stage == stage_kind::running) {
                end_attempt(one, decide::attempt_end::complete);
            } else if (one.stage == stage_kind::handed_over) {
                one.stage = stage_kind::waiting;
                handle(decide::hand_over_refused{one.request.id, "host-2"});
            }
        }
        m_session.now += std::chrono::seconds{1};
        handle(decide::tick{});
    }
    expect(!has_unfinished(), "each request gets a final decision");
}

void history::add_request()
{
    tracked_request made;
    std::uint64_t const id = m_next_id++;
    made.request = m_session.make(id, class_names[random_below(3)]);
    made.request.team = "team-" + std::to_string(random_below(3));
    made.request.fingerprint = random_below(8) == 0 ? 7 : 100 + id;
    made.request.repeatable = random_below(3) != 0;
    if (random_below(5) == 0) {
        made.request.model.clear();
        made.request.service = "ledger";
    }
    made.request.handed_over = random_below(10) == 0;
    m_requests[id] = made;
    handle(decide::request_arrived{m_requests[id].request});
}

void history::relay_tokens()
{
    tracked_request* const one = pick_request(stage_kind::running);
    if (one != nullptr) {
        auto const count = 1 + static_cast<std::uint32_t>(random_below(40));
        one->relayed += count;
        handle(decide::tokens_relayed{one->request.id, count});
    }
}

void history::end_random_attempt()
{
    tracked_request* const one = pick_request(stage_kind::running);
    if (one == nullptr) {
        return;
    }
    auto outcome = static_cast<decide::attempt_end>(random_below(5));
    bool const has_output = one->relayed > 0;
    bool const says_not_run = outcome == decide::attempt_end::refused
                              || outcome == decide::attempt_end::unreachable;
    if (has_output && says_not_run) {
        outcome = decide::attempt_end::broken;
    }
    end_attempt(*one, outcome);
}

void history::end_attempt(tracked_request& one, decide::attempt_end outcome)
{
    bool const final = outcome == decide::attempt_end::complete;
    one.stage = final ? stage_kind::done : stage_kind::waiting;
    one.may_have_run = one.may_have_run
                       || outcome == decide::attempt_end::broken
                       || outcome == decide::attempt_end::failed;
    handle(decide::attempt_ended{
        one.request.id, one.upstream, outcome, one.relayed, 0});
}

void history::cancel_request()
{
    tracked_request* const one = pick_request(
        random_below(2) == 0 ? stage_kind::running : stage_kind::waiting);
    if (one == nullptr) {
        return;
    }
    bool const was_running = one->stage == stage_kind::running;
    one->stage = stage_kind::done;
    std::size_t const before = m_session.out.size();
    handle(decide::request_cancelled{one->request.id});
    bool cancelled = false;
    for (std::size_t position = before; position < m_session.out.size();
         ++position) {
        auto const* made =
            std::get_if<decide::cancel_attempt>(&m_session.out[position]);
        cancelled = cancelled || (made && made->id == one->request.id);
    }
    expect(cancelled == was_running, "what runs is cancelled at once");
}

void history::lose_engine()
{
    auto const& engines = m_session.upstreams.engines;
    std::string const name = engines[random_below(engines.size())].name;
    handle(decide::engine_lost{name});
    for (auto& [id, one] : m_requests) {
        if (one.stage == stage_kind::running && one.upstream == name) {
            end_attempt(one, decide::attempt_end::broken);
        }
    }
}

void history::receive_digest()
{
    std::vector<std::uint8_t> bytes = m_peer.digest(m_session.now);
    if (random_below(2) == 0) {
        bytes.resize(random_below(80));
        for (std::uint8_t& one : bytes) {
            one = static_cast<std::uint8_t>(random_below(256));
        }
    }
    handle(decide::digest_received{"host-2", bytes});
    if (random_below(4) == 0) {
        handle(decide::host_lost{"host-2"});
    }
}

void history::change_upstreams()
{
    for (model::engine& one : m_session.upstreams.engines) {
        one.leaving = random_below(4) == 0;
    }
    handle(decide::upstreams_changed{m_session.upstreams});
}

void history::report_load()
{
    auto const& engines = m_session.upstreams.engines;
    decide::engine_report made;
    made.engine = engines[random_below(engines.size())].name;
    made.measured_at = m_session.now - model::milliseconds(random_below(1000));
    made.running = static_cast<std::uint32_t>(random_below(6));
    made.kv_used = static_cast<double>(random_below(100)) / 100.0;
    handle(made);
}

void history::handle(decide::event const& happened)
{
    std::size_t const before = m_session.out.size();
    m_session.handle(happened);
    for (std::size_t position = before; position < m_session.out.size();
         ++position) {
        check_decision(m_session.out[position]);
    }
}

void history::check_decision(decide::decision const& made)
{
    if (auto const* sent = std::get_if<decide::dispatch>(&made)) {
        check_dispatch(*sent);
    } else if (auto const* refused = std::get_if<decide::refuse>(&made)) {
        check_refusal(*refused);
    } else if (auto const* handed_over_request =
                   std::get_if<decide::hand_over>(&made)) {
        tracked_request& one = m_requests[handed_over_request->id.value];
        expect(one.stage == stage_kind::waiting,
               "only what waits is handed over");
        expect(!one.request.handed_over, "a request is handed over once");
        one.stage = stage_kind::handed_over;
    }
}

void history::check_dispatch(decide::dispatch const& sent)
{
    tracked_request& one = m_requests[sent.id.value];
    expect(one.stage == stage_kind::waiting, "only what waits is sent");
    expect(one.request.repeatable || !one.may_have_run,
           "work that may run once is not sent after it may have run");
    bool const single_attempt =
        !one.request.service.empty() && !one.request.repeatable;
    expect(!single_attempt || one.dispatches == 0,
           "such a call gets one attempt");
    expect(sent.resume_offset == one.relayed, "an answer goes on where it was");
    for (model::engine const& engine : m_session.upstreams.engines) {
        expect(engine.name != sent.upstream || !engine.leaving,
               "an engine that leaves gets no new work");
    }
    if (one.request.service.empty()) {
        check_order(one);
    }
    one.stage = stage_kind::running;
    one.upstream = sent.upstream;
    ++one.dispatches;
}

void history::check_order(tracked_request const& sent)
{
    // A request that has been sent before may avoid the engine or wait apart
    // from others; only fresh ones have to keep the order of tiers.
    if (sent.dispatches > 0) {
        return;
    }
    for (auto const& [id, other] : m_requests) {
        bool const overtakes =
            other.stage == stage_kind::waiting && other.dispatches == 0
            && other.request.service.empty() && other.request.fingerprint != 7
            && tier_of(other.request) < tier_of(sent.request);
        expect(!overtakes, "no lower tier goes ahead of a higher one");
    }
}

void history::check_refusal(decide::refuse const& refused)
{
    tracked_request& one = m_requests[refused.id.value];
    expect(one.stage == stage_kind::waiting,
           "one final decision, for what waits");
    expect(refused.outcome != model::outcome::not_run || !one.may_have_run,
           "not-run is said only if it is true");
    expect(refused.retry_after.count() > 0, "a refusal says when to come back");
    expect(!refused.remedy.empty() && !refused.reason.empty(),
           "a refusal has a reason and a remedy");
    one.stage = stage_kind::done;
}

history::tracked_request* history::pick_request(stage_kind stage_wanted)
{
    std::vector<tracked_request*> found;
    for (auto& [id, one] : m_requests) {
        if (one.stage == stage_wanted) {
            found.push_back(&one);
        }
    }
    return found.empty() ? nullptr : found[random_below(found.size())];
}

bool history::has_unfinished() const
{
    for (auto const& [id, one] : m_requests) {
        if (one.stage != stage_kind::done) {
            return true;
        }
    }
    return false;
}

void history::expect(bool holds, std::string const& guarantee)
{
    if (!holds) {
        m_violations.push_back(guarantee + ", at "
                               + std::to_string(m_session.out.size()));
    }
}

std::uint64_t history::random_below(std::uint64_t limit)
{
    return m_random() % limit;
}

} // namespace caperjunction::tests
