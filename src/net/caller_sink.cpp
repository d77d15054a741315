#include "net/caller_sink.hpp"

#include <string>

namespace caperjunction::net {

void send_error(caller_sink const& sink,
                error_reply const& error,
                reply_metadata const& metadata)
{
    std::string const body = error_body(error, metadata);
    sink.complete({status_of(error.kind),
                   "application/json",
                   body,
                   metadata,
                   error.retry_after});
}

} // namespace caperjunction::net
