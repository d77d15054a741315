#ifndef CAPERJUNCTION_NET_ANSWER_ASSEMBLER_HPP
#define CAPERJUNCTION_NET_ANSWER_ASSEMBLER_HPP

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace caperjunction::net {

/// Merges the events of an engine's stream into the single JSON answer that a
/// caller without streaming expects.
///
/// Thread safety: none; one per request, shared by all its attempts.
class answer_assembler
{
public:
    answer_assembler();
    ~answer_assembler();
    answer_assembler(answer_assembler&&) noexcept;
    answer_assembler& operator=(answer_assembler&&) noexcept;

    /// Adds complete events. Returns false if one of them is not JSON.
    bool add(std::string_view events);

    /// Returns about how many bytes of text the answer has so far, far fewer
    /// than its events.
    std::size_t size() const;

    /// Returns the complete answer as JSON text.
    std::string finish() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace caperjunction::net

#endif
