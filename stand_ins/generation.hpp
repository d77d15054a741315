#ifndef CAPERJUNCTION_STAND_INS_GENERATION_HPP
#define CAPERJUNCTION_STAND_INS_GENERATION_HPP

#include "stand_ins/generation_request.hpp"
#include "stand_ins/timer.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace caperjunction::stand_ins {

/// An answer that is computed and sent token by token.
///
/// Thread safety: none; used on the event_base's thread only.
class generation
{
public:
    struct timing
    {
        std::chrono::microseconds first_token{0};
        /// Zero: as fast as the client reads.
        std::chrono::microseconds between_tokens{0};
        /// Tokens sent in one write.
        std::uint32_t burst = 1;
    };

    struct hooks
    {
        /// Called before each token. Returns false if the generation must
        /// stop; the hook may then have ended or destroyed it.
        std::function<bool(generation&)> before_token;
        /// Called when the answer is complete. The hook may destroy the
        /// generation.
        std::function<void(generation&)> finished;
    };

    /// \pre `call` is open; `base` outlives the generation.
    generation(event_base* base,
               std::shared_ptr<exchange> call,
               generation_request request,
               hooks callbacks);

    /// Starts the computation. \pre It has not begun.
    void begin(timing const& token_timing);
    /// Stops sending but leaves the connection open.
    void stall();
    /// Closes the connection without completing the answer.
    void abort();

    generation_request const& request() const
    {
        return m_request;
    }

    exchange& call()
    {
        return *m_call;
    }

    /// Returns the number of tokens that this engine has computed, without
    /// those of earlier attempts.
    std::uint32_t computed() const
    {
        return m_next - m_request.resume_offset;
    }

    bool has_begun() const
    {
        return m_begun;
    }

private:
    void compute_next();
    void send_token();
    void finish();
    void schedule_next();
    void build_event_template();
    std::string usage() const;
    std::string complete_answer() const;

    std::shared_ptr<exchange> m_call;
    generation_request m_request;
    hooks m_hooks;
    timing m_timing;
    timer m_timer;
    std::string m_tag;
    /// The parts of a stream event before and after the token text.
    std::string m_event_head;
    std::string m_event_tail;
    std::string m_pending;
    std::uint32_t m_next = 0;
    std::chrono::steady_clock::time_point m_due{};
    bool m_begun = false;
};

} // namespace caperjunction::stand_ins

#endif
