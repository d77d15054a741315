#ifndef CAPERJUNCTION_MODEL_ERROR_HPP
#define CAPERJUNCTION_MODEL_ERROR_HPP

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace caperjunction::model {

/// Error categories that a caller or an operator can act on.
enum class error_kind : std::uint8_t
{
    bad_settings,
    bad_list,
    bad_request,
    unauthenticated,
    not_entitled,
    not_found,
    too_large,
    refused,
    quarantined,
    upstream_failed,
    unavailable,
    timed_out,
};

/// Returns the stable name used in JSON errors, logs and metric labels.
std::string_view to_string(error_kind kind);

/// Error whose message states the cause and whose `remedy` states the fix.
///
/// \pre remedy is not empty. Failures without a remedy use other types.
class error : public std::runtime_error
{
public:
    error(error_kind kind, std::string const& message, std::string remedy)
        : std::runtime_error(message)
        , m_kind(kind)
        , m_remedy(std::move(remedy))
    {
    }

    error_kind kind() const
    {
        return m_kind;
    }

    std::string const& remedy() const
    {
        return m_remedy;
    }

private:
    error_kind m_kind;
    std::string m_remedy;
};

} // namespace caperjunction::model

#endif
