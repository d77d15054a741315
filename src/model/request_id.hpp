#ifndef CAPERJUNCTION_MODEL_REQUEST_ID_HPP
#define CAPERJUNCTION_MODEL_REQUEST_ID_HPP

#include <cstdint>
#include <functional>

namespace caperjunction::model {

/// Names one request within the fleet: host generation in the high bits, a
/// counter in the low ones, so that no two hosts give out the same.
struct request_id
{
    std::uint64_t value = 0;

    friend bool operator==(request_id const&, request_id const&) = default;

    friend bool operator<(request_id const& left, request_id const& right)
    {
        return left.value < right.value;
    }
};

} // namespace caperjunction::model

template <>
struct std::hash<caperjunction::model::request_id>
{
    std::size_t operator()(caperjunction::model::request_id id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};

#endif
