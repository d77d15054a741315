#include "model/error.hpp"

namespace caperjunction::model {

std::string_view to_string(error_kind kind)
{
    switch (kind) {
    case error_kind::bad_settings:
        return "bad_settings";
    case error_kind::bad_list:
        return "bad_list";
    case error_kind::bad_request:
        return "bad_request";
    case error_kind::unauthenticated:
        return "unauthenticated";
    case error_kind::not_entitled:
        return "not_entitled";
    case error_kind::not_found:
        return "not_found";
    case error_kind::too_large:
        return "too_large";
    case error_kind::refused:
        return "refused";
    case error_kind::quarantined:
        return "quarantined";
    case error_kind::upstream_failed:
        return "upstream_failed";
    case error_kind::unavailable:
        return "unavailable";
    case error_kind::timed_out:
        return "timed_out";
    }
    return "unavailable";
}

} // namespace caperjunction::model
