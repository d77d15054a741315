#ifndef CAPERJUNCTION_MODEL_ANSWER_STATUS_HPP
#define CAPERJUNCTION_MODEL_ANSWER_STATUS_HPP

#include <cstdint>

namespace caperjunction::model {

/// What an upstream's status says about the bytes that follow it.
enum class answer_status : std::uint8_t
{
    /// Another answer to the same request follows.
    interim,
    /// This is the answer.
    final,
    /// No status of HTTP, or 101: no request asks for another protocol. What
    /// follows can't be framed, and the connection isn't used again.
    invalid,
};

/// Returns the kind of `status`.
///
/// Thread safety: any thread.
constexpr answer_status answer_status_of(int status)
{
    constexpr int first_interim = 100;
    constexpr int switching_protocols = 101;
    constexpr int first_final = 200;
    constexpr int after_last = 600;
    if (status < first_interim || status >= after_last
        || status == switching_protocols) {
        return answer_status::invalid;
    }
    return status < first_final ? answer_status::interim : answer_status::final;
}

} // namespace caperjunction::model

#endif
