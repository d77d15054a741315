#ifndef CAPERJUNCTION_FLEET_CLAIM_VIEW_HPP
#define CAPERJUNCTION_FLEET_CLAIM_VIEW_HPP

#include "fleet/claim_settings.hpp"
#include "model/host_list.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::fleet {

/// The witnesses of every bucket, derived from one revision of the platform's
/// list of hosts.
///
/// Hosts that the platform lists as leaving are excluded. Hosts that don't
/// answer are included: otherwise each side of a network partition would
/// choose its own witnesses, and both would reach a quorum.
///
/// Thread safety: immutable; shared between tasks.
class claim_view
{
public:
    /// Cost grows with hosts times buckets: about 26 ms for 400 hosts.
    ///
    /// \pre hosts' names differ.
    claim_view(model::host_list hosts, claim_settings const& settings);

    std::uint64_t revision() const
    {
        return m_hosts.revision;
    }

    std::size_t buckets() const
    {
        return m_witnesses.size();
    }

    /// Returns the witnesses of a bucket in rank order.
    ///
    /// \pre bucket is below `buckets()`.
    std::vector<std::string> const& witnesses(std::size_t bucket) const
    {
        return m_witnesses[bucket];
    }

    /// \pre bucket is below `buckets()`.
    bool is_witness(std::string_view host, std::size_t bucket) const;

    /// Returns the same list without `hosts`, which leave or don't answer.
    claim_view without(std::set<std::string> const& hosts) const;

    /// Returns the successor of `host` in a bucket that it leaves. The
    /// witnesses added by `next` are matched to the removed ones in order of
    /// name. Empty if there is none.
    std::string successor(std::string_view host,
                          std::size_t bucket,
                          claim_view const& next) const;

private:
    model::host_list m_hosts;
    claim_settings m_settings;
    std::vector<std::vector<std::string>> m_witnesses;
};

} // namespace caperjunction::fleet

#endif
