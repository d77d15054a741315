#include "tests/decide/history.hpp"

namespace caperjunction::tests {

namespace {

constexpr char const* classes[] = {"counter", "desk", "office"};

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
    m_session.add_engines(1 + draw(4), 1 + static_cast<std::uint32_t>(draw(4)));
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
    switch (draw(16)) {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
        arrive();
        break;
    case 5:
    case 6:
        advance();
        break;
    case 7:
    case 8:
        end_one();
        break;
    case 9:
        cancel();
        break;
    case 10:
        draw(4) == 0 ? lose_engine() : report();
        break;
    case 11:
        gossip();
        break;
    case 12:
        draw(8) == 0 ? change_upstreams() : report();
        break;
    default:
        m_session.now += model::milliseconds(draw(200));
        tell(decide::tick{});
        break;
    }
}

void history::settle()
{
    for (int round = 0; round < 200 && running_at_all(); ++round) {
        for (auto& [id, one] : m_known) {
            if (one.stage == progress::running) {
                end(one, decide::attempt_end::complete);
            } else if (one.stage == progress::handed_over) {
                one.stage = progress::waiting;
                tell(decide::hand_over_refused{one.request.id, "host-2"});
            }
        }
        m_session.now += std::chrono::seconds{1};
        tell(decide::tick{});
    }
    expect(!running_at_all(), "each request gets a final decision");
}

void history::arrive()
{
    known made;
    std::uint64_t const id = m_next++;
    made.request = m_session.make(id, classes[draw(3)]);
    made.request.team = "team-" + std::to_string(draw(3));
    made.request.fingerprint = draw(8) == 0 ? 7 : 100 + id;
    made.request.repeatable = draw(3) != 0;
    if (draw(5) == 0) {
        made.request.model.clear();
        made.request.service = "ledger";
    }
    made.request.handed_over = draw(10) == 0;
    m_known[id] = made;
    tell(decide::request_arrived{m_known[id].request});
}

void history::advance()
{
    known* const one = pick(progress::running);
    if (one != nullptr) {
        auto const count = 1 + static_cast<std::uint32_t>(draw(40));
        one->relayed += count;
        tell(decide::tokens_relayed{one->request.id, count});
    }
}

void history::end_one()
{
    known* const one = pick(progress::running);
    if (one == nullptr) {
        return;
    }
    auto how = static_cast<decide::attempt_end>(draw(5));
    bool const begun = one->relayed > 0;
    bool const not_run = how == decide::attempt_end::refused
                         || how == decide::attempt_end::unreachable;
    if (begun && not_run) {
        how = decide::attempt_end::broken;
    }
    end(*one, how);
}

void history::end(known& one, decide::attempt_end how)
{
    bool const final = how == decide::attempt_end::complete;
    one.stage = final ? progress::done : progress::waiting;
    one.maybe_ran = one.maybe_ran || how == decide::attempt_end::broken
                    || how == decide::attempt_end::failed;
    tell(decide::attempt_ended{
        one.request.id, one.upstream, how, one.relayed, 0});
}

void history::cancel()
{
    known* const one =
        pick(draw(2) == 0 ? progress::running : progress::waiting);
    if (one == nullptr) {
        return;
    }
    bool const was_running = one->stage == progress::running;
    one->stage = progress::done;
    std::size_t const before = m_session.out.size();
    tell(decide::request_cancelled{one->request.id});
    bool cancelled = false;
    for (std::size_t at = before; at < m_session.out.size(); ++at) {
        auto const* made =
            std::get_if<decide::cancel_attempt>(&m_session.out[at]);
        cancelled = cancelled || (made && made->id == one->request.id);
    }
    expect(cancelled == was_running, "what runs is cancelled at once");
}

void history::lose_engine()
{
    auto const& engines = m_session.upstreams.engines;
    std::string const name = engines[draw(engines.size())].name;
    tell(decide::engine_lost{name});
    for (auto& [id, one] : m_known) {
        if (one.stage == progress::running && one.upstream == name) {
            end(one, decide::attempt_end::broken);
        }
    }
}

void history::gossip()
{
    std::vector<std::uint8_t> bytes = m_other.digest(m_session.now);
    if (draw(2) == 0) {
        bytes.resize(draw(80));
        for (std::uint8_t& one : bytes) {
            one = static_cast<std::uint8_t>(draw(256));
        }
    }
    tell(decide::digest_received{"host-2", bytes});
    if (draw(4) == 0) {
        tell(decide::host_lost{"host-2"});
    }
}

void history::change_upstreams()
{
    for (model::engine& one : m_session.upstreams.engines) {
        one.leaving = draw(4) == 0;
    }
    tell(decide::upstreams_changed{m_session.upstreams});
}

void history::report()
{
    auto const& engines = m_session.upstreams.engines;
    decide::engine_report made;
    made.engine = engines[draw(engines.size())].name;
    made.taken = m_session.now - model::milliseconds(draw(1000));
    made.running = static_cast<std::uint32_t>(draw(6));
    made.kv_used = static_cast<double>(draw(100)) / 100.0;
    tell(made);
}

void history::tell(decide::event const& happened)
{
    std::size_t const before = m_session.out.size();
    m_session.handle(happened);
    for (std::size_t at = before; at < m_session.out.size(); ++at) {
        check(m_session.out[at]);
    }
}

void history::check(decide::decision const& made)
{
    if (auto const* sent = std::get_if<decide::dispatch>(&made)) {
        check_dispatch(*sent);
    } else if (auto const* refused = std::get_if<decide::refuse>(&made)) {
        check_refusal(*refused);
    } else if (auto const* given = std::get_if<decide::hand_over>(&made)) {
        known& one = m_known[given->id.value];
        expect(one.stage == progress::waiting,
               "only what waits is handed over");
        expect(!one.request.handed_over, "a request is handed over once");
        one.stage = progress::handed_over;
    }
}

void history::check_dispatch(decide::dispatch const& sent)
{
    known& one = m_known[sent.id.value];
    expect(one.stage == progress::waiting, "only what waits is sent");
    expect(one.request.repeatable || !one.maybe_ran,
           "work that may run once is not sent after it may have run");
    bool const once = !one.request.service.empty() && !one.request.repeatable;
    expect(!once || one.dispatches == 0, "such a call gets one attempt");
    expect(sent.resume_offset == one.relayed, "an answer goes on where it was");
    for (model::engine const& engine : m_session.upstreams.engines) {
        expect(engine.name != sent.upstream || !engine.leaving,
               "an engine that leaves gets no new work");
    }
    if (one.request.service.empty()) {
        check_order(one);
    }
    one.stage = progress::running;
    one.upstream = sent.upstream;
    ++one.dispatches;
}

void history::check_order(known const& sent)
{
    // A request that has been sent before may avoid the engine or wait apart
    // from others; only fresh ones have to keep the order of tiers.
    if (sent.dispatches > 0) {
        return;
    }
    for (auto const& [id, other] : m_known) {
        bool const passed =
            other.stage == progress::waiting && other.dispatches == 0
            && other.request.service.empty() && other.request.fingerprint != 7
            && tier_of(other.request) < tier_of(sent.request);
        expect(!passed, "no lower tier goes ahead of a higher one");
    }
}

void history::check_refusal(decide::refuse const& refused)
{
    known& one = m_known[refused.id.value];
    expect(one.stage == progress::waiting,
           "one final decision, for what waits");
    expect(refused.outcome != model::outcome::not_run || !one.maybe_ran,
           "not-run is said only if it is true");
    expect(refused.retry_after.count() > 0, "a refusal says when to come back");
    expect(!refused.remedy.empty() && !refused.reason.empty(),
           "a refusal has a reason and a remedy");
    one.stage = progress::done;
}

history::known* history::pick(progress wanted)
{
    std::vector<known*> found;
    for (auto& [id, one] : m_known) {
        if (one.stage == wanted) {
            found.push_back(&one);
        }
    }
    return found.empty() ? nullptr : found[draw(found.size())];
}

bool history::running_at_all() const
{
    for (auto const& [id, one] : m_known) {
        if (one.stage != progress::done) {
            return true;
        }
    }
    return false;
}

void history::expect(bool kept, std::string const& promise)
{
    if (!kept) {
        m_faults.push_back(promise + ", at "
                           + std::to_string(m_session.out.size()));
    }
}

std::uint64_t history::draw(std::uint64_t below)
{
    return m_random() % below;
}

} // namespace caperjunction::tests
