#ifndef CAPERJUNCTION_NET_SSE_SCANNER_HPP
#define CAPERJUNCTION_NET_SSE_SCANNER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace caperjunction::net {

/// What a stretch of an engine's stream held.
struct sse_scan_result
{
    /// Events that carry output.
    std::uint32_t tokens = 0;
    /// The engine said that the answer is whole.
    bool done = false;
    /// An event outgrew the limit: this is not a stream of tokens.
    bool overlong = false;
};

/// Cuts an engine's stream into whole events.
///
/// An engine may break in the middle of an event. Were its first half
/// relayed, the resumed stream would go on inside a broken line and the
/// caller would lose a token; so only whole events are passed on. The closing
/// `[DONE]` is held back, for the router to send when all is accounted.
///
/// Thread safety: none; one for each attempt.
class sse_scanner
{
public:
    /// Bytes of one event; beyond it the stream is refused.
    static constexpr std::size_t max_event_bytes = 1'048'576;

    /// Takes the next bytes and appends each event that is now whole to
    /// `events`, with its closing empty line.
    sse_scan_result feed(std::string_view bytes, std::string& events);

private:
    void handle_event(std::string_view event,
                      std::string& events,
                      sse_scan_result& found);

    std::string m_partial;
};

} // namespace caperjunction::net

#endif
