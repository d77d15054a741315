#include "bench/claims_explorer/booking_fleet.hpp"

#include <iterator>

namespace caperjunction::claims_explorer {

booking_fleet::booking_fleet(fleet::claim_settings const& settings,
                             std::uint64_t seed)
    : can_reach([](auto const&, auto const&) {
        return true;
    })
    , m_settings(settings)
    , m_random(seed)
{
}

void booking_fleet::start(model::host const& host, bool first_fleet)
{
    fleet::witness_settings settings;
    settings.host = host.name;
    settings.generation = ++m_generations;
    settings.claims = m_settings;
    settings.first_fleet = first_fleet;
    unlist(host.name);
    m_processes.erase(host.name);
    m_processes.emplace(
        host.name,
        process{fleet::witness(settings),
                fleet::claimant(host.name, settings.generation, m_settings)});
    m_listed.push_back(host);
    m_changed = true;
}

void booking_fleet::crash(std::string const& name)
{
    m_processes.erase(name);
}

void booking_fleet::plan_stop(std::string const& name)
{
    handle_event(name, fleet::witness_event(fleet::claim_stop_planned{}));
    deliver_messages();
}

void booking_fleet::unlist(std::string const& name)
{
    auto const gone = std::erase_if(m_listed, [&](model::host const& one) {
        return one.name == name;
    });
    m_changed = m_changed || gone > 0;
}

void booking_fleet::publish()
{
    if (m_changed) {
        model::host_list const hosts{++m_revision, m_listed};
        m_view = std::make_shared<fleet::claim_view const>(hosts, m_settings);
        m_changed = false;
    }
    fleet::claim_view_listed const listed{m_view};
    fleet::claim_view_confirmed const confirmed{m_now};
    for (auto const& name : running()) {
        handle_event(name, fleet::witness_event(listed));
        handle_event(name, fleet::claimant_event(listed));
        handle_event(name, fleet::witness_event(confirmed));
        handle_event(name, fleet::claimant_event(confirmed));
    }
}

void booking_fleet::advance()
{
    m_now += period;
    if (service_up) {
        publish();
    }
    for (auto const& name : running()) {
        handle_event(name, fleet::witness_event(fleet::claim_tick{}));
        handle_event(name, fleet::claimant_event(fleet::claim_tick{}));
    }
    deliver_messages();
    book();
}

std::vector<std::string> booking_fleet::running() const
{
    std::vector<std::string> names;
    names.reserve(m_processes.size());
    for (auto const& [name, one] : m_processes) {
        names.push_back(name);
    }
    return names;
}

void booking_fleet::book()
{
    ++m_count.asked;
    auto const names = running();
    if (names.empty()) {
        return;
    }
    auto const& entry = names[m_random() % names.size()];
    auto const key =
        fleet::make_claim_key("customer", std::to_string(++m_keys));
    bool const at_once = handle_event(
        entry, fleet::claimant_event(fleet::claim_started{key, 1, 1}));
    bool const granted = deliver_messages() || at_once;
    if (granted && m_processes.at(entry).claimant.begin_dispatch(key, m_now)) {
        ++m_count.ran;
        fleet::claim_ended const ended{key, model::outcome::ran};
        handle_event(entry, fleet::claimant_event(ended));
        deliver_messages();
    }
}

void booking_fleet::handle_event(std::string const& host,
                                 fleet::witness_event const& event)
{
    std::vector<fleet::claim_send> out;
    m_processes.at(host).witness.handle(event, m_now, out);
    for (auto const& one : out) {
        m_messages.push_back({host, one});
    }
}

// Returns whether a call may proceed.
bool booking_fleet::handle_event(std::string const& host,
                                 fleet::claimant_event const& event)
{
    bool may_proceed = false;
    std::vector<fleet::claim_decision> out;
    m_processes.at(host).claimant.handle(event, m_now, out);
    for (auto const& one : out) {
        if (auto const* send = std::get_if<fleet::claim_send>(&one)) {
            m_messages.push_back({host, *send});
        }
        may_proceed =
            may_proceed || std::holds_alternative<fleet::claim_proceed>(one);
    }
    return may_proceed;
}

bool booking_fleet::deliver_messages()
{
    bool may_proceed = false;
    while (!m_messages.empty()) {
        queued_message const one = std::move(m_messages.front());
        m_messages.pop_front();
        bool const offer =
            std::holds_alternative<fleet::claim_offer>(one.send.message);
        bool const up = m_processes.count(one.send.to) > 0;
        if (!up || !can_reach(one.from, one.send.to)
            || (offer && !hand_over_enabled)) {
            continue;
        }
        fleet::claim_received const event{one.from, one.send.message};
        handle_event(one.send.to, fleet::witness_event(event));
        may_proceed = handle_event(one.send.to, fleet::claimant_event(event))
                      || may_proceed;
    }
    return may_proceed;
}

} // namespace caperjunction::claims_explorer
