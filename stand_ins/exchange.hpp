#ifndef CAPERJUNCTION_STAND_INS_EXCHANGE_HPP
#define CAPERJUNCTION_STAND_INS_EXCHANGE_HPP

#include <event2/http.h>

#include <functional>
#include <string>
#include <string_view>

namespace caperjunction::stand_ins {

/// One request on a stand-in and the reply to it.
///
/// Outlives neither its event_base nor, once closed, the client's connection.
/// Thread safety: none; used on the event_base's thread only.
class exchange
{
public:
    /// Called when the client goes away before the reply is complete.
    using closed_hook = std::function<void()>;

    /// \pre request has been handed to an evhttp callback just now.
    explicit exchange(evhttp_request* request);
    exchange(exchange const&) = delete;
    exchange& operator=(exchange const&) = delete;
    /// An exchange without a reply is answered with 503.
    ~exchange();

    /// "GET", "POST", "PUT", ... ; "OTHER" for the rare ones.
    std::string method() const;
    /// The path without query.
    std::string path() const;
    /// A parameter of the query; empty if it is not there.
    std::string query(char const* name) const;
    /// Empty if it is not there.
    std::string header(char const* name) const;
    std::string body() const;

    /// \pre not answered yet.
    void on_closed(closed_hook hook);

    bool is_open() const
    {
        return m_request != nullptr;
    }

    /// Bytes that the client has not taken yet.
    std::size_t backlog() const;

    void add_header(char const* name, std::string const& value);
    /// Sends the whole reply. Nothing happens once closed.
    void reply(int status, std::string_view type, std::string_view body);
    void reply_json(int status, std::string_view body);
    /// Starts a chunked reply; `send` adds to it, `finish` ends it.
    void start(std::string_view type);
    void send(std::string_view text);
    void finish();
    /// Closes the connection in the middle, as a crash does.
    void abort();

private:
    static void closed(evhttp_connection* connection, void* self);

    void watch_connection();
    void forget_connection();

    evhttp_request* m_request = nullptr;
    closed_hook m_closed;
    bool m_started = false;
};

} // namespace caperjunction::stand_ins

#endif
