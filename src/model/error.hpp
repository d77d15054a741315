#ifndef CAPERJUNCTION_MODEL_ERROR_HPP
#define CAPERJUNCTION_MODEL_ERROR_HPP

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace caperjunction::model {

/// Kinds of failure that a caller or an operator can act on.
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

/// Stable name of a kind, for JSON errors, logs and metric labels.
std::string_view to_string(error_kind kind);

/// A failure whose message says what is wrong and `remedy` what to do.
///
/// \pre remedy is not empty: an error that nobody can act on is not typed.
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
