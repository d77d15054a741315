#include "proxy/http_reader.hpp"

#include "model/answer_status.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace caperjunction::proxy {
namespace {

constexpr int stop_reading = -1;

bool is_safe(std::string const& value)
{
    return value.find_first_of(std::string_view("\r\n\0", 3))
           == std::string::npos;
}

} // namespace

http_reader::http_reader(http_parser_type side, hooks callbacks)
    : m_hooks(std::move(callbacks))
{
    http_parser_init(&m_parser, side);
    m_parser.data = this;
}

bool http_reader::count_head_bytes(std::size_t bytes)
{
    m_head_bytes += bytes;
    if (m_head_bytes > m_max_head) {
        m_fault = read_fault::head_too_long;
        return false;
    }
    return true;
}

bool http_reader::has_sound_head() const
{
    if (!std::all_of(
            m_head.headers.begin(), m_head.headers.end(), [](auto const& line) {
                return is_safe(line.value);
            })) {
        return false;
    }
    if (m_parser.type == HTTP_REQUEST) {
        return true;
    }
    // An interim answer has no body. One that states a length would have its
    // body taken for the answer.
    bool const has_body = m_head.chunked || m_head.length.value_or(0) > 0;
    switch (model::answer_status_of(m_head.status)) {
    case model::answer_status::interim:
        return !has_body;
    case model::answer_status::final:
        return true;
    case model::answer_status::invalid:
        return false;
    }
    return false;
}

int http_reader::end_head(http_parser* parser)
{
    m_head.minor_version = parser->http_minor;
    m_head.status = static_cast<int>(parser->status_code);
    m_head.chunked = (parser->flags & F_CHUNKED) != 0;
    m_head.keep_alive = http_should_keep_alive(parser) != 0;
    if (parser->content_length != std::numeric_limits<std::uint64_t>::max()
        && !m_head.chunked) {
        m_head.length = parser->content_length;
    }
    if (parser->type == HTTP_REQUEST) {
        m_head.method =
            http_method_str(static_cast<http_method>(parser->method));
    }
    if (!has_sound_head()) {
        m_fault = read_fault::malformed;
        return stop_reading;
    }
    m_interim = parser->type == HTTP_RESPONSE
                && model::answer_status_of(m_head.status)
                       == model::answer_status::interim;
    bool const no_body = m_no_body || m_interim;
    if (m_interim) {
        m_head = {};
        m_head_bytes = 0;
    } else {
        m_hooks.on_head(std::exchange(m_head, {}));
    }
    return no_body ? 1 : 0;
}

http_parser_settings const& http_reader::parser_callbacks()
{
    static http_parser_settings const s_settings = [] {
        http_parser_settings set;
        http_parser_settings_init(&set);
        set.on_message_begin = [](http_parser* parser) {
            http_reader& reader = self(parser);
            reader.m_head = {};
            reader.m_head_bytes = 0;
            reader.m_last_was_value = false;
            reader.m_is_between = false;
            return 0;
        };
        set.on_url = [](http_parser* parser, char const* at, std::size_t size) {
            self(parser).m_head.target.append(at, size);
            return self(parser).count_head_bytes(size) ? 0 : stop_reading;
        };
        set.on_status =
            [](http_parser* parser, char const* at, std::size_t size) {
                self(parser).m_head.reason.append(at, size);
                return self(parser).count_head_bytes(size) ? 0 : stop_reading;
            };
        set.on_header_field =
            [](http_parser* parser, char const* at, std::size_t size) {
                http_reader& reader = self(parser);
                if (reader.m_head.headers.empty() || reader.m_last_was_value) {
                    reader.m_head.headers.emplace_back();
                    reader.m_last_was_value = false;
                }
                reader.m_head.headers.back().name.append(at, size);
                return reader.count_head_bytes(size) ? 0 : stop_reading;
            };
        set.on_header_value =
            [](http_parser* parser, char const* at, std::size_t size) {
                http_reader& reader = self(parser);
                reader.m_last_was_value = true;
                if (!reader.m_head.headers.empty()) {
                    reader.m_head.headers.back().value.append(at, size);
                }
                return reader.count_head_bytes(size) ? 0 : stop_reading;
            };
        set.on_headers_complete = [](http_parser* parser) {
            return self(parser).end_head(parser);
        };
        set.on_body =
            [](http_parser* parser, char const* at, std::size_t size) {
                self(parser).m_has_body_bytes = true;
                self(parser).m_hooks.on_body(std::string_view(at, size));
                return 0;
            };
        set.on_message_complete = [](http_parser* parser) {
            http_reader& reader = self(parser);
            if (!reader.m_interim) {
                reader.m_is_between = true;
                http_parser_pause(parser, 1);
            }
            return 0;
        };
        return set;
    }();
    return s_settings;
}

void http_reader::count_framing(std::size_t bytes)
{
    m_framing_bytes = m_has_body_bytes ? 0 : m_framing_bytes + bytes;
    if (m_framing_bytes > max_framing && m_fault == read_fault::none) {
        m_fault = read_fault::malformed;
    }
}

std::size_t http_reader::feed(std::string_view bytes)
{
    if (m_fault != read_fault::none) {
        return 0;
    }
    m_has_body_bytes = false;
    std::size_t const consumed = http_parser_execute(
        &m_parser, &parser_callbacks(), bytes.data(), bytes.size());
    count_framing(consumed);
    http_errno const code = HTTP_PARSER_ERRNO(&m_parser);
    if (code == HPE_PAUSED) {
        http_parser_pause(&m_parser, 0);
        m_framing_bytes = 0;
        m_hooks.on_end();
        return consumed;
    }
    if (code != HPE_OK || m_parser.upgrade != 0) {
        if (m_fault == read_fault::none) {
            m_fault = read_fault::malformed;
        }
    }
    return consumed;
}

bool http_reader::feed_end()
{
    if (m_is_between || m_fault != read_fault::none) {
        return false;
    }
    http_parser_execute(&m_parser, &parser_callbacks(), nullptr, 0);
    if (HTTP_PARSER_ERRNO(&m_parser) != HPE_PAUSED) {
        return false;
    }
    http_parser_pause(&m_parser, 0);
    m_hooks.on_end();
    return true;
}

} // namespace caperjunction::proxy
