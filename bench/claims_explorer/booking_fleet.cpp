#include "bench/claims_explorer/booking_fleet.hpp"

#include <iterator>

namespace caperjunction::claims_explorer {

booking_fleet::booking_fleet(fleet::claim_settings const& settings,
                             std::uint64_t seed)
    : reaches([](auto const&, auto const&) {
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
    tell(name, fleet::witness_event(fleet::claim_stop_planned{}));
    settle();
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
        tell(name, fleet::witness_event(listed));
        tell(name, fleet::claimant_event(listed));
        tell(name, fleet::witness_event(confirmed));
        tell(name, fleet::claimant_event(confirmed));
    }
}

void booking_fleet::pass()
{
    m_now += period;
    if (service_up) {
        publish();
    }
    for (auto const& name : running()) {
        tell(name, fleet::witness_event(fleet::claim_tick{}));
        tell(name, fleet::claimant_event(fleet::claim_tick{}));
    }
    settle();
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
    bool const at_once =
        tell(entry, fleet::claimant_event(fleet::claim_started{key, 1, 1}));
    bool const granted = settle() || at_once;
    if (granted && m_processes.at(entry).claimant.begin_dispatch(key, m_now)) {
        ++m_count.ran;
        fleet::claim_ended const ended{key, model::outcome::ran};
        tell(entry, fleet::claimant_event(ended));
        settle();
    }
}

void booking_fleet::tell(std::string const& host,
                         fleet::witness_event const& event)
{
    std::vector<fleet::claim_send> out;
    m_processes.at(host).witness.handle(event, m_now, out);
    for (auto const& one : out) {
        m_letters.push_back({host, one});
    }
}

// True if a call may proceed.
bool booking_fleet::tell(std::string const& host,
                         fleet::claimant_event const& event)
{
    bool proceeds = false;
    std::vector<fleet::claim_decision> out;
    m_processes.at(host).claimant.handle(event, m_now, out);
    for (auto const& one : out) {
        if (auto const* send = std::get_if<fleet::claim_send>(&one)) {
            m_letters.push_back({host, *send});
        }
        proceeds =
            proceeds || std::holds_alternative<fleet::claim_proceed>(one);
    }
    return proceeds;
}

bool booking_fleet::settle()
{
    bool proceeds = false;
    while (!m_letters.empty()) {
        letter const one = std::move(m_letters.front());
        m_letters.pop_front();
        bool const offer =
            std::holds_alternative<fleet::claim_offer>(one.send.message);
        bool const up = m_processes.count(one.send.to) > 0;
        if (!up || !reaches(one.from, one.send.to) || (offer && !hands_over)) {
            continue;
        }
        fleet::claim_received const event{one.from, one.send.message};
        tell(one.send.to, fleet::witness_event(event));
        proceeds = tell(one.send.to, fleet::claimant_event(event)) || proceeds;
    }
    return proceeds;
}

} // namespace caperjunction::claims_explorer
