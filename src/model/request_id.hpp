#ifndef CAPERJUNCTION_MODEL_REQUEST_ID_HPP
#define CAPERJUNCTION_MODEL_REQUEST_ID_HPP

#include <cstdint>
#include <functional>

namespace caperjunction::model {

/// Identifies a request within the fleet. The high bits hold the generation of
/// the host and the low bits a counter, so that ids of two hosts never collide.
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
