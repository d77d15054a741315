#ifndef CAPERJUNCTION_FLEET_CLAIM_FINGERPRINT_HPP
#define CAPERJUNCTION_FLEET_CLAIM_FINGERPRINT_HPP

#include "fleet/claim_message.hpp"
#include "model/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace caperjunction::fleet {

/// Serializes the state of a claimant, witness or orderer, so that a state
/// space search recognizes visited states. Times are stored relative to now:
/// states that differ only by the clock are equal.
///
/// Thread safety: any thread, each with its own `out`.
inline void append(std::string& out, std::uint64_t value)
{
    out.append(reinterpret_cast<char const*>(&value), sizeof value);
}

inline void append(std::string& out, std::string_view text)
{
    append(out, text.size());
    out.append(text);
}

inline void append(std::string& out, claim_attempt const& attempt)
{
    append(out, std::string_view(attempt.host));
    append(out, attempt.generation);
    append(out, attempt.number);
}

inline void
append_age(std::string& out, model::time_point then, model::time_point now)
{
    auto const age = std::chrono::floor<model::milliseconds>(now - then);
    append(out, static_cast<std::uint64_t>(age.count()));
}

} // namespace caperjunction::fleet

#endif
