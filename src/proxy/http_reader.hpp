#ifndef CAPERJUNCTION_PROXY_HTTP_READER_HPP
#define CAPERJUNCTION_PROXY_HTTP_READER_HPP

#include "proxy/message_head.hpp"

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// Why a reader stopped parsing.
enum class read_fault : std::uint8_t
{
    none,
    /// The bytes are not valid HTTP, or their lengths contradict each other.
    malformed,
    head_too_long,
};

/// Parses the bytes of a connection into HTTP messages, requests or responses.
///
/// The parser rejects ambiguous framing (two lengths, or a length with chunked
/// encoding). Otherwise a request smuggled in another one's body would run
/// under an id that no caller sent.
///
/// Thread safety: none; one instance per connection.
class http_reader
{
public:
    struct hooks
    {
        std::function<void(message_head&&)> on_head;
        std::function<void(std::string_view)> on_body;
        /// The message is complete; no byte after it has been parsed.
        std::function<void()> on_end;
    };

    /// Upper limit for the size of a head in bytes, independent of the
    /// settings.
    static constexpr std::size_t max_head = 65'536;
    /// Bytes without any of a body, after which a message is malformed: interim
    /// answers, sizes of chunks and their extensions may have no end.
    static constexpr std::size_t max_framing = 2 * max_head;

    http_reader(http_parser_type side, hooks callbacks);
    http_reader(http_reader const&) = delete;
    http_reader& operator=(http_reader const&) = delete;

    void set_max_head_bytes(std::size_t bytes)
    {
        m_max_head = bytes;
    }

    /// Parses bytes up to the end of one message. Returns the number consumed.
    std::size_t feed(std::string_view bytes);

    /// Called when the connection ended without an error. Returns whether that
    /// completed a message whose length is delimited by the end of the
    /// connection.
    bool feed_end();

    /// The next answer has no body, regardless of its headers, if
    /// `is_head_request` is set.
    void expect_no_body(bool is_head_request)
    {
        m_no_body = is_head_request;
    }

    read_fault fault() const
    {
        return m_fault;
    }

    /// Whether no byte of the next message has been parsed.
    bool is_between_messages() const
    {
        return m_is_between;
    }

private:
    static http_reader& self(http_parser* parser)
    {
        return *static_cast<http_reader*>(parser->data);
    }

    static http_parser_settings const& parser_callbacks();
    bool count_head_bytes(std::size_t bytes);
    void count_framing(std::size_t bytes);
    bool has_sound_head() const;
    int end_head(http_parser* parser);

    http_parser m_parser{};
    hooks m_hooks;
    message_head m_head;
    bool m_last_was_value = false;
    bool m_no_body = false;
    bool m_interim = false;
    bool m_is_between = true;
    std::size_t m_head_bytes = 0;
    /// Parsed since the last byte of a body.
    std::size_t m_framing_bytes = 0;
    bool m_has_body_bytes = false;
    std::size_t m_max_head = max_head;
    read_fault m_fault = read_fault::none;
};

} // namespace caperjunction::proxy

#endif
