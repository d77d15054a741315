#ifndef CAPERJUNCTION_NET_READ_AHEAD_HPP
#define CAPERJUNCTION_NET_READ_AHEAD_HPP

struct bufferevent;

namespace caperjunction::net {

/// Lets a server's connection be read while an answer is due, so that libevent
/// notices a caller that hangs up.
///
/// A caller may also send its next request ahead. libevent's own callback
/// ends the whole process when bytes come in this state ("illegal connection
/// state"), so that one caller could take down host after host. Here the bytes
/// wait, a bounded number of them, until the answer has been sent.
///
/// \pre an evhttp request of this connection is being handled.
/// Thread safety: on the thread of the connection's event_base.
void begin_read_ahead(bufferevent* connection);

/// Takes the bound away again; evhttp sets its callbacks by itself.
/// \pre called before the answer is sent whole or ended.
void end_read_ahead(bufferevent* connection);

} // namespace caperjunction::net

#endif
