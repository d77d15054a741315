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

/// One answer while it is computed and sent, token by token.
///
/// Thread safety: none; lives on the event_base's thread.
class generation
{
public:
    /// How fast tokens come.
    struct pace
    {
        std::chrono::microseconds first_token{0};
        /// Zero: as fast as the client takes them.
        std::chrono::microseconds between_tokens{0};
        /// Tokens sent with one write.
        std::uint32_t burst = 1;
    };

    struct hooks
    {
        /// Before a token is sent; false if the generation must stop here,
        /// in which case it may be gone already.
        std::function<bool(generation&)> before_token;
        /// The answer is complete; the generation may be destroyed in it.
        std::function<void(generation&)> finished;
    };

    /// \pre call is open; base outlives the generation.
    generation(event_base* base,
               std::shared_ptr<exchange> call,
               generation_request request,
               hooks on);

    /// Begins to compute. \pre not begun yet.
    void begin(pace const& speed);
    /// Sends nothing more, but leaves the connection open.
    void stall();
    /// Closes the connection in the middle.
    void abort();

    generation_request const& request() const
    {
        return m_request;
    }

    exchange& call()
    {
        return *m_call;
    }

    /// Tokens computed by this engine for this answer.
    std::uint32_t computed() const
    {
        return m_next - m_request.resume_offset;
    }

    bool has_begun() const
    {
        return m_begun;
    }

private:
    void step();
    void send_token();
    void finish();
    void wait_for_next();
    void make_template();
    std::string usage() const;
    std::string whole_answer() const;

    std::shared_ptr<exchange> m_call;
    generation_request m_request;
    hooks m_hooks;
    pace m_pace;
    timer m_timer;
    std::string m_tag;
    /// The parts of an event before and after its token.
    std::string m_event_head;
    std::string m_event_tail;
    std::string m_pending;
    std::uint32_t m_next = 0;
    std::chrono::steady_clock::time_point m_due{};
    bool m_begun = false;
};

} // namespace caperjunction::stand_ins

#endif
