#include "net/peer_link.hpp"

#include "net/peer_acceptor.hpp"
#include "net/peer_dialer.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace caperjunction::net {
namespace {

// Maximum delay until silence or a missed deadline is detected.
constexpr model::milliseconds tick_period{100};

void check_settings(peer_link_settings const& settings)
{
    if (settings.secret.size() < min_secret_bytes) {
        throw model::error(model::error_kind::bad_settings,
                           "the peer secret is shorter than "
                               + std::to_string(min_secret_bytes) + " bytes",
                           "give all hosts the same long random secret");
    }
}

} // namespace

struct peer_link::state
{
    state(peer_link& owner,
          runtime::event_loop& event_loop,
          peer_link_settings link_settings)
        : link(owner)
        , loop(event_loop)
        , settings(std::move(link_settings))
        , dialer_calls(make_dialer_calls())
        , acceptor(loop, settings, counters, make_acceptor_calls())
        , timer(loop.every(tick_period, [this] {
            tick();
        }))
    {
    }

    ~state()
    {
        loop.cancel(timer);
    }

    state(state const&) = delete;
    state& operator=(state const&) = delete;

    peer_dialer::callbacks make_dialer_calls()
    {
        peer_dialer::callbacks calls;
        calls.connected = [this](std::string const& host) {
            link.connected.emit(host);
        };
        calls.disconnected = [this](std::string const& host) {
            link.disconnected.emit(host);
        };
        calls.failed = [this](std::string const& host,
                              model::error const& error) {
            link.failed.emit(host, error);
        };
        return calls;
    }

    peer_acceptor::callbacks make_acceptor_calls()
    {
        peer_acceptor::callbacks calls;
        calls.is_listed = [this](std::string const& host) {
            return listed.count(host) != 0;
        };
        calls.received = [this](std::string const& host,
                                fleet::peer_message const& message) {
            link.received.emit(host, message);
        };
        calls.failed = dialer_calls.failed;
        return calls;
    }

    void tick()
    {
        // A slot of a signal may unlist a host; the copy keeps its dialer alive
        // until the call returns.
        auto const current = dialers;
        for (auto const& [host, dialer] : current) {
            dialer->tick();
        }
        acceptor.tick();
    }

    std::shared_ptr<peer_dialer> dialer(std::string const& host)
    {
        auto const known = dialers.find(host);
        if (known != dialers.end()) {
            return known->second;
        }
        auto const entry = listed.find(host);
        if (entry == listed.end()) {
            return nullptr;
        }
        auto created = std::make_shared<peer_dialer>(
            host, entry->second, loop, settings, counters, dialer_calls);
        dialers.emplace(host, created);
        return created;
    }

    peer_link& link;
    runtime::event_loop& loop;
    peer_link_settings settings;
    peer_link_counters counters;
    std::map<std::string, model::endpoint> listed;
    std::set<std::string> persistent;
    std::map<std::string, std::shared_ptr<peer_dialer>> dialers;
    peer_dialer::callbacks dialer_calls;
    peer_acceptor acceptor;
    runtime::timer_handle timer;
};

peer_link::peer_link(runtime::event_loop& loop, peer_link_settings settings)
{
    check_settings(settings);
    m_state = std::make_unique<state>(*this, loop, std::move(settings));
}

peer_link::~peer_link() = default;

void peer_link::set_hosts(std::vector<model::host> const& hosts)
{
    state& self = *m_state;
    self.listed.clear();
    for (model::host const& host : hosts) {
        if (host.name != self.settings.host) {
            self.listed.emplace(host.name, host.peers);
        }
    }
    auto const current = self.dialers;
    for (auto const& [name, dialer] : current) {
        auto const entry = self.listed.find(name);
        if (entry != self.listed.end()) {
            dialer->set_address(entry->second);
            continue;
        }
        bool const was_connected = dialer->is_connected();
        self.dialers.erase(name);
        // Destroyed after the current call stack has returned.
        self.loop.defer([dialer = dialer] {});
        if (was_connected) {
            disconnected.emit(name);
        }
    }
    self.acceptor.drop_unlisted();
    set_persistent_peers({self.persistent.begin(), self.persistent.end()});
}

void peer_link::set_persistent_peers(std::vector<std::string> const& hosts)
{
    state& self = *m_state;
    self.persistent = {hosts.begin(), hosts.end()};
    for (auto const& [name, dialer] : self.dialers) {
        dialer->set_persistent(self.persistent.count(name) != 0);
    }
    for (std::string const& name : hosts) {
        if (auto const dialer = self.dialer(name)) {
            dialer->set_persistent(true);
        }
    }
}

bool peer_link::send(std::string const& host,
                     fleet::peer_message const& message)
{
    auto const dialer = m_state->dialer(host);
    return dialer != nullptr && dialer->send(encode(message));
}

bool peer_link::is_connected(std::string const& host) const
{
    auto const entry = m_state->dialers.find(host);
    return entry != m_state->dialers.end() && entry->second->is_connected();
}

std::size_t peer_link::queued_bytes(std::string const& host) const
{
    auto const entry = m_state->dialers.find(host);
    return entry == m_state->dialers.end() ? 0 : entry->second->queued_bytes();
}

std::uint16_t peer_link::port() const
{
    return m_state->acceptor.port();
}

peer_link_counters const& peer_link::counters() const
{
    return m_state->counters;
}

} // namespace caperjunction::net
