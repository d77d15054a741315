#ifndef CAPERJUNCTION_PROXY_TUNNEL_HPP
#define CAPERJUNCTION_PROXY_TUNNEL_HPP

#include "proxy/relay_context.hpp"
#include "proxy/tcp_stream.hpp"
#include "proxy/tunnel_codec.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// A connection of another host to an upstream that leads through this one.
///
/// When one side ends, the other is ended in the same way: the upstream stops
/// working when the other host closes, and the other host sees how an answer
/// ended.
///
/// Thread safety: none; owned by the loop's task.
class tunnel : public std::enable_shared_from_this<tunnel>
{
public:
    /// `on_ended` is called once, when both sides have ended.
    tunnel(relay_context& context, std::function<void(tunnel const*)> on_ended);

    /// Takes ownership of an accepted socket. \pre Called once.
    void serve(int socket);

    /// Closes both sides. `on_ended` is not called.
    void close();

private:
    void handle_request(std::string_view bytes);
    void connect(tunnel_request const& request);
    void refuse(tunnel_status status);
    void forward(std::shared_ptr<tcp_stream> const& from,
                 std::shared_ptr<tcp_stream> const& to,
                 std::string_view bytes);
    void end_host(connection_end reason);
    void end_upstream(connection_end reason);
    void notify_ended();

    relay_context& m_context;
    std::function<void(tunnel const*)> m_on_ended;
    std::shared_ptr<tcp_stream> m_host;
    std::shared_ptr<tcp_stream> m_upstream;
    std::string m_request;
    runtime::timer_handle m_request_timer;
    /// Whether the other host reads `tunnel_frames`.
    bool m_has_frames = false;
    bool m_is_established = false;
};

} // namespace caperjunction::proxy

#endif
