#ifndef CAPERJUNCTION_NET_SSE_SCANNER_HPP
#define CAPERJUNCTION_NET_SSE_SCANNER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace caperjunction::net {

/// Result of scanning a part of an engine's stream.
struct sse_scan_result
{
    /// Number of events that carry output.
    std::uint32_t tokens = 0;
    /// The engine sent `[DONE]`: the answer is complete.
    bool done = false;
    /// An event exceeds `max_event_bytes`; this is not a token stream.
    bool overlong = false;
};

/// Splits an engine's stream into complete events.
///
/// An engine may fail in the middle of an event. If the first half were
/// relayed, the resumed stream would continue inside a broken line and the
/// caller would lose a token. Therefore only complete events are relayed. The
/// closing `[DONE]` is withheld; the router sends it after it has reported all
/// tokens.
///
/// Thread safety: none; one per attempt.
class sse_scanner
{
public:
    /// Maximum bytes of one event; a longer event ends the attempt.
    static constexpr std::size_t max_event_bytes = 1'048'576;

    /// Scans the next bytes and appends each event that is now complete to
    /// `events`, including its closing empty line.
    sse_scan_result feed(std::string_view bytes, std::string& events);

private:
    void handle_event(std::string_view event,
                      std::string& events,
                      sse_scan_result& found);

    std::string m_partial;
};

} // namespace caperjunction::net

#endif
