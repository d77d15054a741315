#include "bench/policy_bench/fake_engine.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace caperjunction::bench {

fake_engine::fake_engine(engine_parameters parameters,
                         event_queue& queue,
                         upstream_hooks hooks)
    : m_parameters(parameters)
    , m_queue(queue)
    , m_hooks(std::move(hooks))
{
}

bool fake_engine::precedes(sequence const& left, sequence const& right)
{
    return std::tie(left.job.priority, left.order)
           < std::tie(right.job.priority, right.order);
}

void fake_engine::submit(engine_job job)
{
    sequence entry;
    entry.result.attempt = job.attempt;
    entry.produced = job.resume_offset;
    entry.order = m_order++;
    entry.job = std::move(job);
    if (m_waiting.size() >= m_parameters.max_waiting) {
        finish(entry, decide::attempt_end::refused);
        return;
    }
    enqueue(std::move(entry));
    start_step();
}

void fake_engine::enqueue(sequence entry)
{
    auto const index =
        std::upper_bound(m_waiting.begin(), m_waiting.end(), entry, precedes);
    m_waiting.insert(index, std::move(entry));
}

void fake_engine::cancel(std::uint64_t attempt)
{
    auto const is_it = [attempt](sequence const& entry) {
        return entry.job.attempt == attempt;
    };
    auto const queued = std::find_if(m_waiting.begin(), m_waiting.end(), is_it);
    if (queued != m_waiting.end()) {
        sequence entry = std::move(*queued);
        m_waiting.erase(queued);
        finish(entry, decide::attempt_end::cancelled);
        return;
    }
    auto const active = std::find_if(m_running.begin(), m_running.end(), is_it);
    if (active != m_running.end()) {
        sequence entry = std::move(*active);
        m_running.erase(active);
        m_kv_used -= entry.held_tokens;
        finish(entry, decide::attempt_end::cancelled);
    }
}

void fake_engine::crash(std::chrono::nanoseconds restart_after)
{
    ++m_epoch;
    ++m_crashes;
    m_up = false;
    m_stepping = false;
    m_kv_used = 0;
    m_cache.clear();
    auto lost = std::exchange(m_running, {});
    for (sequence& entry : lost) {
        finish(entry, decide::attempt_end::broken);
    }
    lost = std::exchange(m_waiting, {});
    for (sequence& entry : lost) {
        finish(entry, decide::attempt_end::broken);
    }
    m_hooks.crashed();
    m_queue.after(restart_after, [this] {
        m_up = true;
    });
}

void fake_engine::slow_down(double factor)
{
    m_slowdown = factor;
}

std::uint32_t fake_engine::running() const
{
    return static_cast<std::uint32_t>(m_running.size());
}

std::uint32_t fake_engine::waiting() const
{
    return static_cast<std::uint32_t>(m_waiting.size());
}

std::uint32_t fake_engine::kv_used() const
{
    return m_kv_used;
}

double fake_engine::kv_share() const
{
    return static_cast<double>(m_kv_used) / m_parameters.kv_tokens;
}

prefix_cache& fake_engine::cache()
{
    return m_cache;
}

std::uint32_t fake_engine::crashes() const
{
    return m_crashes;
}

bool fake_engine::start_next()
{
    sequence& first = m_waiting.front();
    std::uint32_t const need = first.job.prompt_tokens + first.produced + 1;
    if (m_kv_used + need > m_parameters.kv_tokens && !m_running.empty()) {
        return false;
    }
    std::uint32_t const held =
        static_cast<std::uint32_t>(m_cache.match(first.job.prefix_blocks))
        * m_parameters.block_tokens;
    // At least one token of a prompt is always computed.
    std::uint32_t const cached = std::min(held, first.job.prompt_tokens - 1);
    first.pending_prefill_tokens =
        first.job.prompt_tokens + first.produced - cached;
    first.held_tokens = need;
    first.result.cached_tokens = cached;
    m_kv_used += need;
    m_running.push_back(std::move(first));
    m_waiting.erase(m_waiting.begin());
    return true;
}

void fake_engine::admit()
{
    while (!m_waiting.empty() && m_running.size() < m_parameters.slots) {
        if (!start_next()) {
            return;
        }
    }
}

std::uint32_t fake_engine::prefill()
{
    std::uint32_t left = m_parameters.prompt_tokens_per_step;
    for (sequence& entry : m_running) {
        std::uint32_t const piece =
            std::min(left, entry.pending_prefill_tokens);
        entry.pending_prefill_tokens -= piece;
        entry.result.computed_prompt += piece;
        left -= piece;
    }
    return m_parameters.prompt_tokens_per_step - left;
}

void fake_engine::start_step()
{
    if (m_stepping || !m_up) {
        return;
    }
    admit();
    if (m_running.empty()) {
        return;
    }
    std::int64_t const decoding =
        std::count_if(m_running.begin(), m_running.end(), [](auto const& one) {
            return one.pending_prefill_tokens == 0;
        });
    std::uint32_t const taken = prefill();
    std::chrono::duration<double, std::nano> const step =
        m_parameters.step_base + m_parameters.step_per_sequence * decoding
        + m_parameters.step_per_prompt_token * taken;
    m_stepping = true;
    m_queue.after(
        std::chrono::duration_cast<std::chrono::nanoseconds>(step * m_slowdown),
        [this, epoch = m_epoch] {
            end_step(epoch);
        });
}

void fake_engine::end_step(std::uint64_t epoch)
{
    if (epoch != m_epoch) {
        return;
    }
    m_stepping = false;
    for (std::size_t index = 0; index < m_running.size();) {
        if (m_running[index].pending_prefill_tokens > 0) {
            ++index;
            continue;
        }
        if (m_running[index].job.crashes_engine) {
            constexpr std::chrono::seconds restart{10};
            crash(restart);
            return;
        }
        if (advance(m_running[index])) {
            sequence entry = std::move(m_running[index]);
            m_running.erase(m_running.begin()
                            + static_cast<std::ptrdiff_t>(index));
            m_kv_used -= entry.held_tokens;
            finish(entry, decide::attempt_end::complete);
        } else {
            ++index;
        }
    }
    evict_to_fit_memory();
    start_step();
}

bool fake_engine::advance(sequence& entry)
{
    if (entry.produced < entry.job.output_tokens) {
        ++entry.produced;
        ++entry.unsent;
        ++entry.held_tokens;
        ++m_kv_used;
        ++entry.result.computed_output;
    }
    if (!entry.first_sent) {
        std::size_t const room =
            m_parameters.cache_tokens / m_parameters.block_tokens;
        m_cache.store(entry.job.prefix_blocks, room);
    }
    bool const done = entry.produced >= entry.job.output_tokens;
    if (done || !entry.first_sent
        || entry.unsent >= m_parameters.tokens_per_chunk) {
        send(entry);
    }
    return done;
}

void fake_engine::send(sequence& entry)
{
    entry.first_sent = true;
    if (entry.unsent > 0) {
        m_hooks.tokens(entry.job.attempt, std::exchange(entry.unsent, 0U));
    }
}

void fake_engine::finish(sequence& entry, decide::attempt_end end)
{
    entry.result.end = end;
    m_hooks.ended(entry.result);
}

// Running sequences grow. If memory is full, cache blocks are evicted first,
// then the newest sequence of the lowest priority is queued again and
// recomputed.
void fake_engine::evict_to_fit_memory()
{
    while (m_kv_used > m_parameters.kv_tokens && m_running.size() > 1) {
        auto const last =
            std::max_element(m_running.begin(), m_running.end(), precedes);
        sequence entry = std::move(*last);
        m_running.erase(last);
        m_kv_used -= entry.held_tokens;
        enqueue(std::move(entry));
    }
    std::uint32_t const room = std::min(
        m_parameters.cache_tokens,
        m_parameters.kv_tokens - std::min(m_kv_used, m_parameters.kv_tokens));
    m_cache.shrink(room / m_parameters.block_tokens);
}

} // namespace caperjunction::bench
