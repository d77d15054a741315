#ifndef CAPERJUNCTION_TESTS_PROXY_CUTTABLE_PATH_HPP
#define CAPERJUNCTION_TESTS_PROXY_CUTTABLE_PATH_HPP

#include "proxy/tcp_stream.hpp"
#include "runtime/event_loop.hpp"

#include <cstdint>
#include <memory>
#include <vector>

struct evconnlistener;

namespace caperjunction::test {

/// How the link between one host and one upstream behaves.
enum class path_state : std::uint8_t
{
    open,
    /// Nothing passes: open connections stay silent, new ones are not
    /// established.
    silent,
    /// Open connections are reset, and new ones are refused.
    resetting,
    /// Open connections live on, and new ones are refused.
    refusing_new,
};

/// The link between one host and one upstream: forwards connections, and can be
/// cut.
class cuttable_path
{
public:
    cuttable_path(runtime::event_loop& loop, model::endpoint to);
    ~cuttable_path();
    cuttable_path(cuttable_path const&) = delete;
    cuttable_path& operator=(cuttable_path const&) = delete;

    model::endpoint at() const
    {
        return {"127.0.0.1", m_port};
    }

    void set(path_state state);

    /// Connections accepted so far.
    int connections = 0;

private:
    struct link
    {
        std::shared_ptr<proxy::tcp_stream> near;
        std::shared_ptr<proxy::tcp_stream> far;
    };

    void listen_with(int backlog);
    void stop_listening();
    void accept(int socket);
    void fill_backlog();

    runtime::event_loop& m_loop;
    model::endpoint m_to;
    evconnlistener* m_listener = nullptr;
    std::uint16_t m_port = 0;
    /// Keeps the port while nothing listens, so that connections are refused.
    int m_reservation = -1;
    path_state m_state = path_state::open;
    std::vector<link> m_links;
    /// Connections that fill the queue of a silent path: the system then
    /// ignores further ones.
    std::vector<int> m_fillers;
};

} // namespace caperjunction::test

#endif
