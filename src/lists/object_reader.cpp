#include "lists/object_reader.hpp"

#include "lists/text_validation.hpp"

#include <algorithm>
#include <limits>

namespace caperjunction::lists {
namespace {

constexpr std::size_t max_faults = 500;
// Above any realistic rate; keeps sums of rates finite.
constexpr double max_rate = 1e12;
// One day. Longer durations are unit errors, such as seconds written in
// microseconds.
constexpr std::uint32_t max_duration_ms = 86'400'000;

} // namespace

object_reader::object_reader(nlohmann::json const& object,
                             std::string file,
                             std::string path,
                             std::vector<fault>& faults)
    : m_object(object)
    , m_file(std::move(file))
    , m_path(std::move(path))
    , m_faults(faults)
{
    if (!m_object.is_object()) {
        m_faults.push_back(
            {m_file, m_path, "is not an object", "write it as { ... }"});
    }
}

void object_reader::add_fault(char const* field,
                              std::string message,
                              std::string remedy)
{
    if (m_faults.size() < max_faults) {
        m_faults.push_back({m_file,
                            m_path + '/' + sanitize_field_name(field),
                            std::move(message),
                            std::move(remedy)});
    }
}

nlohmann::json const* object_reader::find(char const* field)
{
    m_read_fields.emplace_back(field);
    if (!m_object.is_object()) {
        return nullptr;
    }
    auto const found = m_object.find(field);
    return found == m_object.end() ? nullptr : &*found;
}

nlohmann::json const* object_reader::require(char const* field)
{
    nlohmann::json const* const value = find(field);
    if (value == nullptr && m_object.is_object()) {
        add_fault(field, "is missing", "add this field");
    }
    return value;
}

nlohmann::json const* object_reader::find_array(char const* field)
{
    nlohmann::json const* const value = find(field);
    if (value != nullptr && !value->is_array()) {
        add_fault(field, "is not an array", "write it as [ ... ]");
        return nullptr;
    }
    return value;
}

void object_reader::require_name(char const* field, std::string& into)
{
    if (require(field) != nullptr) {
        read_name(field, into);
    }
}

void object_reader::read_name(char const* field, std::string& into)
{
    nlohmann::json const* const value = find(field);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || !is_name(value->get<std::string>())) {
        add_fault(
            field, "is not a name", "use 1 to 64 letters, digits, or - _ . :");
        return;
    }
    into = value->get<std::string>();
}

void object_reader::require_text(char const* field, std::string& into)
{
    nlohmann::json const* const value = require(field);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || value->get<std::string>().empty()) {
        add_fault(
            field, "is not a non-empty string", "write a string in quotes");
        return;
    }
    into = value->get<std::string>();
}

void object_reader::require_hex(char const* field,
                                std::string& into,
                                std::size_t min_length,
                                std::size_t max_length)
{
    nlohmann::json const* const value = require(field);
    if (value == nullptr) {
        return;
    }
    std::string const text =
        value->is_string() ? value->get<std::string>() : std::string();
    bool const is_valid =
        text.size() >= min_length && text.size() <= max_length && is_hex(text);
    if (!is_valid) {
        add_fault(
            field,
            "is not a string of lower-case hex digits of the right length",
            "write " + std::to_string(min_length) + " to "
                + std::to_string(max_length) + " of the digits 0-9 and a-f");
        return;
    }
    into = text;
}

void object_reader::read_boolean(char const* field, bool& into)
{
    nlohmann::json const* const value = find(field);
    if (value == nullptr) {
        return;
    }
    if (!value->is_boolean()) {
        add_fault(field, "is not a boolean", "write true or false");
        return;
    }
    into = value->get<bool>();
}

void object_reader::read_count(char const* field,
                               std::uint32_t& into,
                               std::uint32_t min)
{
    nlohmann::json const* const value = find(field);
    if (value == nullptr) {
        return;
    }
    bool const is_valid = value->is_number_unsigned()
                          && value->get<std::uint64_t>() >= min
                          && value->get<std::uint64_t>()
                                 <= std::numeric_limits<std::uint32_t>::max();
    if (!is_valid) {
        add_fault(field,
                  "is not an integer in range",
                  "write an integer of at least " + std::to_string(min));
        return;
    }
    into = value->get<std::uint32_t>();
}

void object_reader::read_rate(char const* field, double& into)
{
    nlohmann::json const* const value = find(field);
    if (value == nullptr) {
        return;
    }
    bool const is_valid = value->is_number() && value->get<double>() >= 0.0
                          && value->get<double>() <= max_rate;
    if (!is_valid) {
        add_fault(
            field, "is not a valid rate", "write a number from 0 to 1e12");
        return;
    }
    into = value->get<double>();
}

void object_reader::read_share(char const* field, double& into)
{
    nlohmann::json const* const value = find(field);
    if (value == nullptr) {
        return;
    }
    bool const is_valid = value->is_number() && value->get<double>() >= 0.0
                          && value->get<double>() <= 1.0;
    if (!is_valid) {
        add_fault(field, "is not a valid share", "write a number from 0 to 1");
        return;
    }
    into = value->get<double>();
}

void object_reader::read_duration_ms(char const* field,
                                     std::chrono::milliseconds& into)
{
    auto ms = static_cast<std::uint32_t>(into.count());
    read_count(field, ms, 1);
    if (ms > max_duration_ms) {
        add_fault(field, "is longer than a day", "write it in milliseconds");
        return;
    }
    into = std::chrono::milliseconds(ms);
}

void object_reader::read_names(char const* field,
                               std::vector<std::string>& into)
{
    nlohmann::json const* const array = find_array(field);
    if (array == nullptr) {
        return;
    }
    for (nlohmann::json const& item : *array) {
        if (!item.is_string() || !is_name(item.get<std::string>())) {
            add_fault(field,
                      "contains an element that is not a name",
                      "use 1 to 64 letters, digits, or - _ . :");
            return;
        }
        into.push_back(item.get<std::string>());
    }
}

void object_reader::require_endpoint(char const* field, model::endpoint& into)
{
    if (require(field) == nullptr) {
        return;
    }
    read_object(field, [&into](object_reader& item) {
        item.read_address(into);
        item.read_port(into);
    });
}

void object_reader::read_address(model::endpoint& into)
{
    require_text("address", into.address);
    if (!into.address.empty() && !is_numeric_address(into.address)) {
        add_fault("address",
                  "is not a numeric IP address",
                  "write it as 10.0.0.1 or fd00::1; names are not resolved");
    }
}

void object_reader::read_port(model::endpoint& into)
{
    std::uint32_t port = 0;
    if (require("port") == nullptr) {
        return;
    }
    read_count("port", port, 1);
    if (port > std::numeric_limits<std::uint16_t>::max()) {
        add_fault(
            "port", "is not a valid port", "write a number from 1 to 65535");
        return;
    }
    into.port = static_cast<std::uint16_t>(port);
}

void object_reader::report_unknown_fields()
{
    if (!m_object.is_object()) {
        return;
    }
    for (auto const& [field, value] : m_object.items()) {
        if (std::find(m_read_fields.begin(), m_read_fields.end(), field)
            == m_read_fields.end()) {
            add_fault(field.c_str(),
                      "is not a known field",
                      "correct its spelling or remove it");
        }
    }
}

} // namespace caperjunction::lists
