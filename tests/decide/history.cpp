#include "tests/decide/history.hpp"

namespace caperjunction::tests {

namespace {

constexpr char const* class_names[] = {"counter", "desk", "office"};

// Without guaranteed shares the order of tiers is strict.
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
    m_fixture.handle(decide::lists_changed{strict_catalogue()});
    model::service_instance ledger;
    ledger.service = "ledger";
    ledger.name = "ledger-1";
    ledger.region = "west";
    m_fixture.upstreams.services.push_back(ledger);
    ledger.name = "ledger-2";
    m_fixture.upstreams.services.push_back(ledger);
    m_fixture.add_engines(1 + random_below(4),
                          1 + static_cast<std::uint32_t>(random_below(4)));
    m_fixture.decisions.clear();
}

void history::run(std::size_t count)
{
    for (std::size_t generated = 0; generated < count; ++generated) {
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
        m_fixture.now += model::milliseconds(random_below(200));
        handle(decide::tick{});
        break;
    }
}

void history::finish_all()
{
    for (int attempt_round = 0; attempt_round < 200 && has_unfinished();
         ++attempt_round) {
        for (auto& [id, request] : m_requests) {
            if (request.stage == stage_kind::running) {
                end_attempt(request, decide::attempt_end::complete);
            } else if (request.stage == stage_kind::handed_over) {
                request.stage = stage_kind::waiting;
                handle(decide::hand_over_refused{request.data.id, "host-2"});
            }
        }
        m_fixture.now += std::chrono::seconds{1};
        handle(decide::tick{});
    }
    expect(!has_unfinished(), "each request gets a final decision");
}

void history::add_request()
{
    tracked_request added;
    std::uint64_t const id = m_next_id++;
    added.data = m_fixture.make_request(id, class_names[random_below(3)]);
    added.data.team = "team-" + std::to_string(random_below(3));
    added.data.fingerprint = random_below(8) == 0 ? 7 : 100 + id;
    added.data.repeatable = random_below(3) != 0;
    if (random_below(5) == 0) {
        added.data.model.clear();
        added.data.service = "ledger";
    }
    added.data.handed_over = random_below(10) == 0;
    m_requests[id] = added;
    handle(decide::request_arrived{m_requests[id].data});
}

void history::relay_tokens()
{
    tracked_request* const request = pick_request(stage_kind::running);
    if (request != nullptr) {
        auto const count = 1 + static_cast<std::uint32_t>(random_below(40));
        request->relayed += count;
        handle(decide::tokens_relayed{request->data.id, count});
    }
}

void history::end_random_attempt()
{
    tracked_request* const request = pick_request(stage_kind::running);
    if (request == nullptr) {
        return;
    }
    auto outcome = static_cast<decide::attempt_end>(random_below(5));
    bool const has_output = request->relayed > 0;
    bool const says_not_run = outcome == decide::attempt_end::refused
                              || outcome == decide::attempt_end::unreachable;
    if (has_output && says_not_run) {
        outcome = decide::attempt_end::broken;
    }
    end_attempt(*request, outcome);
}

void history::end_attempt(tracked_request& request, decide::attempt_end outcome)
{
    bool const final = outcome == decide::attempt_end::complete;
    request.stage = final ? stage_kind::done : stage_kind::waiting;
    request.may_have_run = request.may_have_run
                           || outcome == decide::attempt_end::broken
                           || outcome == decide::attempt_end::failed;
    handle(decide::attempt_ended{
        request.data.id, request.upstream, outcome, request.relayed, 0});
}

void history::cancel_request()
{
    tracked_request* const request = pick_request(
        random_below(2) == 0 ? stage_kind::running : stage_kind::waiting);
    if (request == nullptr) {
        return;
    }
    bool const was_running = request->stage == stage_kind::running;
    request->stage = stage_kind::done;
    std::size_t const before = m_fixture.decisions.size();
    handle(decide::request_cancelled{request->data.id});
    bool cancelled = false;
    for (std::size_t position = before; position < m_fixture.decisions.size();
         ++position) {
        auto const* decision =
            std::get_if<decide::cancel_attempt>(&m_fixture.decisions[position]);
        cancelled = cancelled || (decision && decision->id == request->data.id);
    }
    expect(cancelled == was_running, "a running request is cancelled at once");
}

void history::lose_engine()
{
    auto const& engines = m_fixture.upstreams.engines;
    std::string const name = engines[random_below(engines.size())].name;
    handle(decide::engine_lost{name});
    for (auto& [id, request] : m_requests) {
        if (request.stage == stage_kind::running && request.upstream == name) {
            end_attempt(request, decide::attempt_end::broken);
        }
    }
}

void history::receive_digest()
{
    std::vector<std::uint8_t> bytes = m_peer.digest(m_fixture.now);
    if (random_below(2) == 0) {
        bytes.resize(random_below(80));
        for (std::uint8_t& byte : bytes) {
            byte = static_cast<std::uint8_t>(random_below(256));
        }
    }
    handle(decide::digest_received{"host-2", bytes});
    if (random_below(4) == 0) {
        handle(decide::host_lost{"host-2"});
    }
}

void history::change_upstreams()
{
    for (model::engine& engine : m_fixture.upstreams.engines) {
        engine.leaving = random_below(4) == 0;
    }
    handle(decide::upstreams_changed{m_fixture.upstreams});
}

void history::report_load()
{
    auto const& engines = m_fixture.upstreams.engines;
    decide::engine_report report;
    report.engine = engines[random_below(engines.size())].name;
    report.measured_at =
        m_fixture.now - model::milliseconds(random_below(1000));
    report.running = static_cast<std::uint32_t>(random_below(6));
    report.kv_used = static_cast<double>(random_below(100)) / 100.0;
    handle(report);
}

void history::handle(decide::event const& input)
{
    std::size_t const before = m_fixture.decisions.size();
    m_fixture.handle(input);
    for (std::size_t position = before; position < m_fixture.decisions.size();
         ++position) {
        check_decision(m_fixture.decisions[position]);
    }
}

void history::check_decision(decide::decision const& decision)
{
    if (auto const* sent = std::get_if<decide::dispatch>(&decision)) {
        check_dispatch(*sent);
    } else if (auto const* refusal = std::get_if<decide::refuse>(&decision)) {
        check_refusal(*refusal);
    } else if (auto const* handed_over_request =
                   std::get_if<decide::hand_over>(&decision)) {
        tracked_request& request = m_requests[handed_over_request->id.value];
        expect(request.stage == stage_kind::waiting,
               "only a waiting request is handed over");
        expect(!request.data.handed_over, "a request is handed over once");
        request.stage = stage_kind::handed_over;
    }
}

void history::check_dispatch(decide::dispatch const& sent)
{
    tracked_request& request = m_requests[sent.id.value];
    expect(request.stage == stage_kind::waiting,
           "only a waiting request is dispatched");
    expect(request.data.repeatable || !request.may_have_run,
           "a non-repeatable request is not sent after it may have run");
    bool const single_attempt =
        !request.data.service.empty() && !request.data.repeatable;
    expect(!single_attempt || request.dispatches == 0,
           "a non-repeatable service call gets one attempt");
    expect(sent.resume_offset == request.relayed,
           "an answer resumes where it stopped");
    for (model::engine const& engine : m_fixture.upstreams.engines) {
        expect(engine.name != sent.upstream || !engine.leaving,
               "a leaving engine gets no new requests");
    }
    if (request.data.service.empty()) {
        check_order(request);
    }
    request.stage = stage_kind::running;
    request.upstream = sent.upstream;
    ++request.dispatches;
}

void history::check_order(tracked_request const& sent)
{
    // A request that has been dispatched before may avoid an engine or wait
    // apart from others; the order of tiers applies to first attempts only.
    if (sent.dispatches > 0) {
        return;
    }
    for (auto const& [id, other] : m_requests) {
        bool const overtakes =
            other.stage == stage_kind::waiting && other.dispatches == 0
            && other.data.service.empty() && other.data.fingerprint != 7
            && tier_of(other.data) < tier_of(sent.data);
        expect(!overtakes, "no lower tier overtakes a higher one");
    }
}

void history::check_refusal(decide::refuse const& refused)
{
    tracked_request& request = m_requests[refused.id.value];
    expect(request.stage == stage_kind::waiting,
           "a waiting request gets one final decision");
    expect(refused.outcome != model::outcome::not_run || !request.may_have_run,
           "not-run is reported only if it is true");
    expect(refused.retry_after.count() > 0, "a refusal has a retry delay");
    expect(!refused.remedy.empty() && !refused.reason.empty(),
           "a refusal has a reason and a remedy");
    request.stage = stage_kind::done;
}

history::tracked_request* history::pick_request(stage_kind stage_wanted)
{
    std::vector<tracked_request*> found;
    for (auto& [id, request] : m_requests) {
        if (request.stage == stage_wanted) {
            found.push_back(&request);
        }
    }
    return found.empty() ? nullptr : found[random_below(found.size())];
}

bool history::has_unfinished() const
{
    for (auto const& [id, request] : m_requests) {
        if (request.stage != stage_kind::done) {
            return true;
        }
    }
    return false;
}

void history::expect(bool holds, std::string const& guarantee)
{
    if (!holds) {
        m_violations.push_back(guarantee + ", at "
                               + std::to_string(m_fixture.decisions.size()));
    }
}

std::uint64_t history::random_below(std::uint64_t limit)
{
    return m_random() % limit;
}

} // namespace caperjunction::tests
