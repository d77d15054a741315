#ifndef CAPERJUNCTION_LISTS_OBJECT_READER_HPP
#define CAPERJUNCTION_LISTS_OBJECT_READER_HPP

#include "lists/fault.hpp"
#include "model/endpoint.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::lists {

/// Reads one JSON object field by field and records each fault with its path,
/// so that an operator sees all faults of a list at once.
///
/// Thread safety: none. Private to this folder.
class object_reader
{
public:
    object_reader(nlohmann::json const& object,
                  std::string file,
                  std::string path,
                  std::vector<fault>& faults);

    /// Each of these leaves `into` unchanged and records a fault if the field
    /// has the wrong type or range. A missing field is a fault only for the
    /// `require_` forms.
    void require_name(char const* field, std::string& into);
    void read_name(char const* field, std::string& into);
    void require_text(char const* field, std::string& into);
    /// Reads `min_length` to `max_length` lower-case hex digits.
    void require_hex(char const* field,
                     std::string& into,
                     std::size_t min_length,
                     std::size_t max_length);
    void read_boolean(char const* field, bool& into);
    void read_count(char const* field, std::uint32_t& into, std::uint32_t min);
    void read_rate(char const* field, double& into);
    void read_share(char const* field, double& into);
    void read_duration_ms(char const* field, std::chrono::milliseconds& into);
    void read_names(char const* field, std::vector<std::string>& into);
    /// Reads an object with a numeric IP `address` and a `port` of 1 to 65535.
    void require_endpoint(char const* field, model::endpoint& into);

    /// Calls `each` with an object_reader for every object of the array.
    template <typename Each>
    void read_objects(char const* field, Each each)
    {
        nlohmann::json const* const array = find_array(field);
        if (array == nullptr) {
            return;
        }
        for (std::size_t index = 0; index < array->size(); ++index) {
            object_reader item((*array)[index],
                               m_file,
                               m_path + '/' + field + '/'
                                   + std::to_string(index),
                               m_faults);
            each(item);
            item.report_unknown_fields();
        }
    }

    /// Calls `each` with an object_reader for the object.
    template <typename Each>
    void read_object(char const* field, Each each)
    {
        nlohmann::json const* const value = find(field);
        if (value == nullptr) {
            return;
        }
        object_reader item(*value, m_file, m_path + '/' + field, m_faults);
        each(item);
        item.report_unknown_fields();
    }

    /// Records a fault for each field that was not read. Otherwise a misspelt
    /// field would silently leave the default in effect.
    void report_unknown_fields();

    /// Records a fault of this field. Only the first 500 faults of a list are
    /// kept, so that a list full of faults does not exhaust memory.
    void add_fault(char const* field, std::string message, std::string remedy);

private:
    nlohmann::json const* find(char const* field);
    nlohmann::json const* require(char const* field);
    nlohmann::json const* find_array(char const* field);
    void read_address(model::endpoint& into);
    void read_port(model::endpoint& into);

    nlohmann::json const& m_object;
    std::string m_file;
    std::string m_path;
    std::vector<fault>& m_faults;
    std::vector<std::string> m_read_fields;
};

} // namespace caperjunction::lists

#endif
