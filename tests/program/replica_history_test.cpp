#include "program/replica_host.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

using entries = std::map<std::string, std::uint64_t>;

/// A store of few keys, and hosts that read it and ask each other.
class replicated_store
{
public:
    replicated_store()
    {
        for (std::size_t number = 0; number < hosts; ++number) {
            start(number);
        }
        write(0);
    }

    /// One step: `operation` selects what happens, to which host and key.
    void step(std::uint16_t operation)
    {
        constexpr std::size_t kinds = 10;
        std::size_t const host = operation / kinds % hosts;
        std::size_t const other = operation / (kinds * hosts) % hosts;
        switch (operation % kinds) {
        case 0:
        case 1:
            write(operation / kinds % keys);
            break;
        case 2:
            read(host, operation / (kinds * hosts) % keys);
            break;
        case 3:
            watch(host);
            break;
        case 4:
            start(host);
            break;
        case 5:
            go_back(operation / kinds % max_lost);
            break;
        default:
            m_hosts[host].state->replica.merge(
                m_hosts[other].state->replica.changes(
                    m_hosts[host].state->context.known.upstreams));
        }
    }

    /// Whether each host has exactly the entries of the revision that it claims
    /// to have.
    bool is_consistent() const
    {
        for (member const& host : m_hosts) {
            auto const known = host.state->context.known.upstreams;
            if (known.is_set() && entries_of(host) != m_past.at(known)) {
                return false;
            }
        }
        return true;
    }

private:
    static constexpr std::size_t hosts = 4;
    static constexpr std::size_t keys = 4;
    static constexpr std::size_t max_lost = 5;

    struct member
    {
        std::unique_ptr<replica_host> state;
        routing::store_position read_up_to;
    };

    static std::string id(std::size_t key)
    {
        return "i-" + std::to_string(key);
    }

    entries entries_of(member const& host) const
    {
        entries found;
        auto const known = host.state->context.known.upstreams;
        for (auto const& item : host.state->replica.changes(0).items) {
            if (item.at() <= known) {
                found[item.key] = item.revision;
            }
        }
        return found;
    }

    proxy::store_item in_era(proxy::store_item item) const
    {
        item.era = m_era;
        return item;
    }

    void start(std::size_t host)
    {
        m_hosts[host] = {std::make_unique<replica_host>(m_loop), {}};
    }

    /// Writes an entry, or removes it if it exists.
    void write(std::size_t key)
    {
        ++m_revision;
        std::string const name = "servers/" + id(key);
        bool const exists = m_now.erase(name) > 0;
        m_changes.push_back(exists ? removal_item(id(key), m_revision)
                                   : upstream_item(id(key), m_revision));
        if (!exists) {
            m_now[name] = m_revision;
        }
        m_past[{m_revision, m_era}] = m_now;
    }

    /// Comes back from a copy that lacks the last `lost` changes.
    void go_back(std::uint64_t lost)
    {
        std::uint64_t const first = m_first_revision;
        std::uint64_t const kept =
            m_revision - std::min(lost, m_revision - first);
        m_now = m_past.at({kept, m_era});
        m_revision = kept;
        m_first_revision = kept;
        ++m_era;
        m_past[{m_revision, m_era}] = m_now;
        m_changes.clear();
    }

    /// Reads the store completely, in two pages; a key changes between them.
    void read(std::size_t host, std::size_t changed)
    {
        member& reader = m_hosts[host];
        std::uint64_t const revision = m_revision;
        reader.state->replica.enter_era(m_era);
        std::vector<std::string> present;
        read_page(reader, 0, present);
        write(changed);
        read_page(reader, 1, present);
        reader.state->replica.retain_only(present, {revision, m_era});
        reader.read_up_to = {revision, m_era};
        watch(host);
    }

    void read_page(member& reader,
                   std::size_t page,
                   std::vector<std::string>& present)
    {
        for (std::size_t key = page * keys / 2; key < (page + 1) * keys / 2;
             ++key) {
            auto const found = m_now.find("servers/" + id(key));
            if (found != m_now.end()) {
                present.push_back(found->first);
                reader.state->replica.apply(
                    in_era(upstream_item(id(key), found->second)));
            }
        }
    }

    void watch(std::size_t host)
    {
        member& reader = m_hosts[host];
        if (!reader.read_up_to.is_set()) {
            return;
        }
        if (reader.read_up_to.era != m_era) {
            read(host, 0);
            return;
        }
        for (auto const& change : m_changes) {
            if (change.revision > reader.read_up_to.revision) {
                reader.state->replica.apply(in_era(change));
            }
        }
        reader.read_up_to = {m_revision, m_era};
        reader.state->replica.commit({m_revision, m_era});
    }

    runtime::event_loop m_loop;
    std::vector<member> m_hosts{hosts};
    std::uint64_t m_revision = 0;
    std::uint64_t m_era = 1;
    /// Of the copy that the era began with.
    std::uint64_t m_first_revision = 1;
    std::vector<proxy::store_item> m_changes;
    entries m_now;
    std::map<routing::store_position, entries> m_past;
};

} // namespace

// Guards against hosts that claim to have all changes up to a revision and lack
// one of them, in whichever order they start, read, watch and ask each other
// and the store comes back from copies.
TEST_CASE("a host has what the store had at the revision that it claims")
{
    CHECK(rc::check([](std::vector<std::uint16_t> const& operations) {
        replicated_store store;
        for (std::uint16_t const operation : operations) {
            store.step(operation);
            RC_ASSERT(store.is_consistent());
        }
    }));
}
