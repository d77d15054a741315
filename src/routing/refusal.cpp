#include "routing/refusal.hpp"

#include <array>

namespace caperjunction::routing {
namespace {

using std::chrono::milliseconds;

struct entry
{
    refusal_reason reason;
    std::string_view name;
    int status;
    /// 0: a retry does not help.
    milliseconds retry_after;
    std::string_view remedy;
};

/// In the order of the reasons. The retry delay is short if another host can
/// serve the request. If the request waits for an upstream, it is the time in
/// which a queue shrinks by some requests.
constexpr std::array<entry, 23> entries{{
    {refusal_reason::no_configuration,
     "no_configuration",
     503,
     milliseconds{300},
     "try again; another host may know the routes"},
    {refusal_reason::no_route,
     "no_route",
     404,
     milliseconds{0},
     "check host and path against the published routes"},
    {refusal_reason::key_missing,
     "key_missing",
     401,
     milliseconds{0},
     "send an API key in the Authorization header"},
    {refusal_reason::key_unknown,
     "key_unknown",
     401,
     milliseconds{0},
     "use a key that your team holds now"},
    {refusal_reason::keys_stale,
     "keys_stale",
     503,
     milliseconds{100},
     "try again; another host may know the keys"},
    {refusal_reason::no_upstream,
     "no_upstream",
     503,
     milliseconds{300},
     "try again; no server of this service can be reached"},
    {refusal_reason::limited,
     "limited",
     503,
     milliseconds{300},
     "try again later; all servers take fewer requests than are sent"},
    {refusal_reason::too_late,
     "too_late",
     503,
     milliseconds{500},
     "try again later; all servers are busy beyond your deadline"},
    {refusal_reason::over_share,
     "over_share",
     503,
     milliseconds{300},
     "try again later, or send less: your team asks for more than its share of "
     "a service that has too little capacity for all teams"},
    {refusal_reason::upstream_full,
     "upstream_full",
     503,
     milliseconds{250},
     "try again later; the server was full"},
    {refusal_reason::quarantined,
     "quarantined",
     503,
     milliseconds{60'000},
     "don't send it again: servers broke down while they ran it"},
    {refusal_reason::part_kept_back,
     "part_kept_back",
     503,
     milliseconds{60'000},
     "don't send it again: servers broke down at a part of its prompt"},
    {refusal_reason::part_on_trial,
     "part_on_trial",
     503,
     milliseconds{1'000},
     "try again; servers may have broken down at a part of its prompt"},
    {refusal_reason::stopping,
     "stopping",
     503,
     milliseconds{50},
     "try again; this host is being stopped"},
    {refusal_reason::host_full,
     "host_full",
     503,
     milliseconds{300},
     "try again; this host is full"},
    {refusal_reason::upstream_failed,
     "upstream_failed",
     502,
     milliseconds{0},
     "find out whether the request has run before you send it again"},
    {refusal_reason::version_unknown,
     "version_unknown",
     503,
     milliseconds{300},
     "try again; another host may know the version that began the stream, or "
     "begin anew without Last-Event-Id"},
    {refusal_reason::version_gone,
     "version_gone",
     503,
     milliseconds{0},
     "begin anew without Last-Event-Id: no server of the version that began "
     "the stream is left"},
    {refusal_reason::timed_out,
     "timed_out",
     504,
     milliseconds{0},
     "find out whether the request has run before you send it again"},
    {refusal_reason::malformed,
     "malformed",
     400,
     milliseconds{0},
     "send a well-formed HTTP/1.1 request"},
    {refusal_reason::head_too_long,
     "head_too_long",
     431,
     milliseconds{0},
     "send fewer or shorter headers"},
    {refusal_reason::body_too_long,
     "body_too_long",
     413,
     milliseconds{0},
     "send a shorter body"},
    {refusal_reason::caller_too_slow,
     "caller_too_slow",
     408,
     milliseconds{0},
     "send the whole request without long pauses"},
}};

entry const& entry_of(refusal_reason reason)
{
    return entries[static_cast<std::size_t>(reason)];
}

} // namespace

std::string_view to_string(refusal_reason reason)
{
    return entry_of(reason).name;
}

std::string_view remedy_of(refusal_reason reason)
{
    return entry_of(reason).remedy;
}

refusal refuse(refusal_reason reason,
               bool may_have_run,
               std::optional<milliseconds> retry_after)
{
    constexpr int unavailable = 503;
    constexpr int bad_gateway = 502;
    constexpr int timed_out = 504;
    constexpr milliseconds after_timeout{200};
    refusal result{reason, entry_of(reason).status, std::nullopt};
    if (result.status == timed_out && !may_have_run) {
        // The request has waited but not run: the caller may retry.
        result.status = unavailable;
        result.retry_after = after_timeout;
    } else if (result.status == bad_gateway && !may_have_run) {
        result.status = unavailable;
        result.retry_after = entry_of(refusal_reason::no_upstream).retry_after;
    } else if (result.status == unavailable && may_have_run) {
        // Status 503 guarantees that the request has not run.
        result.status = bad_gateway;
    } else if (entry_of(reason).retry_after.count() > 0) {
        result.retry_after = retry_after.value_or(entry_of(reason).retry_after);
    }
    return result;
}

} // namespace caperjunction::routing
