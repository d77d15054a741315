#ifndef CAPERJUNCTION_NET_READ_AHEAD_HPP
#define CAPERJUNCTION_NET_READ_AHEAD_HPP

struct bufferevent;

namespace caperjunction::net {

/// Enables reading on a server connection while an answer is due, so that
/// libevent detects a caller that disconnects.
///
/// A caller may also send its next request early (pipelining). libevent's own
/// read callback aborts the process on bytes in this state ("illegal
/// connection state"), so one caller could take down every host in turn. This
/// function removes that callback and buffers a bounded number of bytes until
/// the answer has been sent.
///
/// \pre an evhttp request of this connection is being handled.
/// Thread safety: on the thread of the connection's event_base.
void begin_read_ahead(bufferevent* connection);

/// Removes the limit on buffered bytes; evhttp restores its callbacks itself.
/// \pre called before a complete answer or the end of an answer is sent.
void end_read_ahead(bufferevent* connection);

} // namespace caperjunction::net

#endif
