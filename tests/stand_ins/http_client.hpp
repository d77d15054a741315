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

/// An event_base that is run until something has happened.
class test_loop
{
public:
    test_loop();

    event_base* base() const
    {
        return m_base.get();
    }

    /// False if it has not happened within the patience of the test.
    bool run_until(std::function<bool()> const& happened);

private:
    std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
};

/// One call over a connection of its own.
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

    /// The reply is complete, or the connection broke.
    bool is_over() const
    {
        return m_over;
    }

    /// 0 if the connection broke before a reply was complete.
    int status() const
    {
        return m_status;
    }

    /// What has come of the body so far.
    std::string const& body() const
    {
        return m_body;
    }

    /// Closes the connection.
    void hang_up();

private:
    static void done(evhttp_request* request, void* self);
    static void chunk(evhttp_request* request, void* self);

    void take(evhttp_request* request);

    evhttp_connection* m_connection = nullptr;
    std::string m_body;
    int m_status = 0;
    bool m_over = false;
};

} // namespace caperjunction::testing

#endif
