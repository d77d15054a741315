#include "net/caller_sink.hpp"

#include <string>

namespace caperjunction::net {

void send_error(caller_sink const& sink,
                error_reply const& error,
                reply_metadata const& facts)
{
    std::string const body = error_body(error, facts);
    sink.whole({status_of(error.kind),
                "application/json",
                body,
                facts,
                error.retry_after});
}

} // namespace caperjunction::net
