#include "model/retry_after.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <limits>

namespace caperjunction::model {
namespace {

constexpr std::chrono::hours max_retry_after{24};

} // namespace

std::optional<double> parse_decimal(std::string_view text)
{
    double value = 0.0;
    auto const end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, value);
    bool const is_number = read.ec == std::errc() && read.ptr == end;
    if (read.ec == std::errc::result_out_of_range && read.ptr == end) {
        return std::numeric_limits<double>::max();
    }
    return is_number && std::isfinite(value) && value >= 0.0
               ? std::optional(value)
               : std::nullopt;
}

std::optional<milliseconds> parse_retry_after(std::string_view text)
{
    auto const value = parse_decimal(text);
    if (!value) {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(
        std::min(seconds(*value), seconds(max_retry_after)));
}

} // namespace caperjunction::model
