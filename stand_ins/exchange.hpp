#ifndef CAPERJUNCTION_STAND_INS_EXCHANGE_HPP
#define CAPERJUNCTION_STAND_INS_EXCHANGE_HPP

#include <event2/http.h>

#include <functional>
#include <string>
#include <string_view>

namespace caperjunction::stand_ins {

/// One HTTP request to a stand-in and its reply.
///
/// Must not outlive its event_base. Once the client has disconnected, the
/// exchange no longer refers to the connection.
/// Thread safety: none; used on the event_base's thread only.
class exchange
{
public:
    /// Called when the client disconnects before the reply is complete.
    using closed_hook = std::function<void()>;

    /// \pre evhttp has just passed `request` to its request callback.
    explicit exchange(evhttp_request* request);
    exchange(exchange const&) = delete;
    exchange& operator=(exchange const&) = delete;
    /// Replies 503 if no reply was started; aborts an incomplete one.
    ~exchange();

    /// Returns "GET", "POST", "PUT", "DELETE", "HEAD" or "PATCH"; "OTHER" for
    /// all other methods.
    std::string method() const;
    /// Returns the path without the query.
    std::string path() const;
    /// Returns a query parameter, empty if it is missing.
    std::string query(char const* name) const;
    /// Returns a request header, empty if it is missing.
    std::string header(char const* name) const;
    std::string body() const;

    /// \pre No reply has been sent.
    void on_closed(closed_hook hook);

    bool is_open() const
    {
        return m_request != nullptr;
    }

    /// Returns the number of reply bytes not yet written to the socket.
    std::size_t backlog() const;

    void add_header(char const* name, std::string const& value);
    /// Sends a complete reply. Has no effect once closed.
    void reply(int status, std::string_view type, std::string_view body);
    void reply_json(int status, std::string_view body);
    /// Starts a chunked reply; `send` appends to it, `finish` ends it.
    void start(std::string_view type);
    void send(std::string_view text);
    void finish();
    /// Closes the connection without completing the reply, as a crash does.
    void abort();

private:
    static void closed(evhttp_connection* connection, void* self);

    void watch_connection();
    void detach_connection();

    evhttp_request* m_request = nullptr;
    closed_hook m_closed_hook;
    bool m_started = false;
};

} // namespace caperjunction::stand_ins

#endif
