#include "fleet/digest_exchange.hpp"

#include "fleet/hashing.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace caperjunction::fleet {
namespace {

// Bytes of a digest message besides its body: framing, name, sequence.
constexpr std::size_t frame_overhead = 96;

} // namespace

digest_exchange::digest_exchange(digest_settings const& settings,
                                 std::string host,
                                 std::string region,
                                 std::uint64_t generation)
    : m_settings(settings)
    , m_host(std::move(host))
    , m_region(std::move(region))
    , m_sequence(generation)
{
}

void digest_exchange::handle(agent_event const& event,
                             model::time_point now,
                             std::vector<agent_output>& out)
{
    if (auto const* updated = std::get_if<digest_updated>(&event)) {
        m_bytes = updated->bytes;
        send(now, out);
    } else if (auto const* message = std::get_if<message_received>(&event)) {
        if (auto const* digest = std::get_if<load_digest>(&message->message)) {
            handle_digest(*digest, out);
        }
    } else if (std::holds_alternative<agent_tick>(event)) {
        send(now, out);
    }
}

void digest_exchange::set_view(host_view const& view)
{
    m_others = view.live();
    std::erase(m_others, m_host);
    m_partners.clear();
    if (m_others.size() <= m_settings.fan_out) {
        m_partners.swap(m_others);
        return;
    }
    // The weight hashes both names, so that most partnerships are mutual.
    auto const weight = [this](std::string const& name) {
        return hash_text(std::min(name, m_host))
               ^ hash_text(std::max(name, m_host), 1);
    };
    m_partners = view.live(m_region);
    std::erase(m_partners, m_host);
    std::sort(m_partners.begin(),
              m_partners.end(),
              [&](std::string const& left, std::string const& right) {
                  return weight(left) > weight(right);
              });
    m_partners.resize(std::min(m_partners.size(), m_settings.fan_out / 2));
    std::erase_if(m_others, [this](std::string const& name) {
        return std::find(m_partners.begin(), m_partners.end(), name)
               != m_partners.end();
    });
}

std::vector<std::string> digest_exchange::next_targets()
{
    std::vector<std::string> targets = m_partners;
    while (targets.size() < m_settings.fan_out && !m_others.empty()) {
        m_next_other = (m_next_other + 1) % m_others.size();
        targets.push_back(m_others[m_next_other]);
        if (targets.size() >= m_partners.size() + m_others.size()) {
            break;
        }
    }
    return targets;
}

// Control traffic must not displace answers on the narrow link between regions:
// larger digests are sent less often, at the same bandwidth.
void digest_exchange::send(model::time_point now,
                           std::vector<agent_output>& out)
{
    if (m_bytes.empty() || now < m_next_send) {
        return;
    }
    auto const targets = next_targets();
    ++m_sequence;
    for (std::string const& name : targets) {
        out.push_back(
            send_message{name, load_digest{m_host, m_sequence, 0, m_bytes}});
    }
    double const bytes =
        static_cast<double>((m_bytes.size() + frame_overhead) * targets.size());
    auto const affordable = model::seconds(bytes / m_settings.bytes_per_second);
    m_next_send =
        now
        + std::max(m_settings.period,
                   std::chrono::duration_cast<model::milliseconds>(affordable));
}

void digest_exchange::handle_digest(load_digest const& digest,
                                    std::vector<agent_output>& out)
{
    std::uint64_t& seen = m_last_sequence[digest.host];
    if (digest.sequence <= seen) {
        return;
    }
    seen = digest.sequence;
    out.push_back(digest_arrived{digest.host, digest.bytes});
}

} // namespace caperjunction::fleet
