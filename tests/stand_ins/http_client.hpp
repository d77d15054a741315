#ifndef CAPERJUNCTION_TESTS_STAND_INS_HTTP_CLIENT_HPP
#define CAPERJUNCTION_TESTS_STAND_INS_HTTP_CLIENT_HPP

#include "model/endpoint.hpp"

#include <event2/event.h>
#include <event2/http.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace caperjunction::testing {

/// An event_base that runs until a condition holds.
class test_loop
{
public:
    test_loop();

    event_base* base() const
    {
        return m_base.get();
    }

    /// Runs until `condition` returns true. Returns false after 20 s.
    bool run_until(std::function<bool()> const& condition);

private:
    std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
};

/// One HTTP call over its own connection.
class http_call
{
public:
    using headers = std::map<std::string, std::string>;

    http_call(test_loop& loop,
              model::endpoint const& to,
              evhttp_cmd_type method,
              std::string const& path,
              std::string const& body = "",
              headers const& extra = {});
    ~http_call();
    http_call(http_call const&) = delete;
    http_call& operator=(http_call const&) = delete;

    /// Returns whether the reply is complete or the connection has failed.
    bool has_ended() const
    {
        return m_has_ended;
    }

    /// Returns 0 if the connection failed before the reply was complete.
    int status() const
    {
        return m_status;
    }

    /// Returns the part of the body received so far.
    std::string const& body() const
    {
        return m_body;
    }

    void close();

private:
    static void done(evhttp_request* request, void* self);
    static void chunk(evhttp_request* request, void* self);

    void append_body(evhttp_request* request);

    evhttp_connection* m_connection = nullptr;
    std::string m_body;
    int m_status = 0;
    bool m_has_ended = false;
};

} // namespace caperjunction::testing

#endif
