#include "net/read_ahead.hpp"

#include "model/limits.hpp"

#include <event2/bufferevent.h>
#include <event2/event.h>

namespace caperjunction::net {

void begin_read_ahead(bufferevent* connection)
{
    bufferevent_data_cb read = nullptr;
    bufferevent_data_cb write = nullptr;
    bufferevent_event_cb happened = nullptr;
    void* argument = nullptr;
    bufferevent_getcb(connection, &read, &write, &happened, &argument);
    bufferevent_setcb(connection, nullptr, write, happened, argument);
    bufferevent_setwatermark(
        connection, EV_READ, 0, model::limits::max_header_bytes);
    bufferevent_enable(connection, EV_READ);
}

void end_read_ahead(bufferevent* connection)
{
    bufferevent_setwatermark(connection, EV_READ, 0, 0);
}

} // namespace caperjunction::net
