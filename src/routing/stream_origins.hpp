#ifndef CAPERJUNCTION_ROUTING_STREAM_ORIGINS_HPP
#define CAPERJUNCTION_ROUTING_STREAM_ORIGINS_HPP

#include "model/time.hpp"
#include "routing/stream_origin.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace caperjunction::routing {

/// The software that began the streams of this host and of hosts that have told
/// it, bounded in time and number.
///
/// A stream that is unknown is refused when its caller takes it up. If it were
/// placed at any engine, its caller would get events of two versions.
///
/// Thread safety: none; owned by one task.
class stream_origins
{
public:
    explicit stream_origins(std::size_t max_count = 16'384)
        : m_max_count(max_count)
    {
    }

    /// Records a stream. Two records that contradict each other make it
    /// unknown.
    void record(stream_origin const& begun, model::time_point now);

    /// Records a stream of this host of which no other host was told.
    void record_untold(stream_origin const& begun, model::time_point now);

    /// Returns the software that began a stream; nothing if it is unknown.
    std::optional<software> find(std::uint64_t stream) const;

    /// Returns the streams of `record_untold` of a service, and forgets that
    /// they are untold.
    std::vector<stream_origin> take_untold(std::uint64_t service);

    /// Returns all streams whose software is known.
    std::vector<stream_origin> all() const;

    bool has_untold() const
    {
        return !m_untold.empty();
    }

    /// Forgets streams that were recorded more than `window` ago.
    void expire(model::milliseconds window, model::time_point now);

    std::size_t size() const
    {
        return m_streams.size();
    }

    /// Streams that were forgotten early because there were too many.
    std::uint64_t evicted() const
    {
        return m_evicted;
    }

private:
    struct entry
    {
        /// No value: contradictory.
        std::optional<software> began_at;
        model::time_point recorded_at{};
    };

    struct dated_stream
    {
        std::uint64_t stream = 0;
        model::time_point recorded_at{};
    };

    void drop_oldest();

    std::size_t m_max_count;
    std::unordered_map<std::uint64_t, entry> m_streams;
    /// By time. A stream that was recorded again is listed again.
    std::deque<dated_stream> m_order;
    std::unordered_map<std::uint64_t, software> m_untold;
    std::uint64_t m_evicted = 0;
};

} // namespace caperjunction::routing

#endif
