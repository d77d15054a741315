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

/// Reads one JSON object field by field and notes each fault with its path,
/// so that an operator sees all of them at once.
///
/// Thread safety: none. Private to this folder.
class object_reader
{
public:
    object_reader(nlohmann::json const& object,
                  std::string file,
                  std::string path,
                  std::vector<fault>& faults);

    /// Each of these leaves `into` as it is, and notes a fault, if the field
    /// has the wrong type or range; a field that is not there is a fault only
    /// for the `need_` forms.
    void require_name(char const* field, std::string& into);
    void read_name(char const* field, std::string& into);
    void require_text(char const* field, std::string& into);
    /// Lower-case hex digits, `least` to `most` of them.
    void require_hex(char const* field,
                     std::string& into,
                     std::size_t least,
                     std::size_t most);
    void read_boolean(char const* field, bool& into);
    void
    read_count(char const* field, std::uint32_t& into, std::uint32_t least);
    void read_rate(char const* field, double& into);
    void read_share(char const* field, double& into);
    void read_duration_ms(char const* field, std::chrono::milliseconds& into);
    void read_names(char const* field, std::vector<std::string>& into);
    /// An object of a numeric IP `address` and a `port` from 1 to 65535.
    void require_endpoint(char const* field, model::endpoint& into);

    /// Calls `each` with a reader for every object of the array.
    template <typename Each>
    void read_objects(char const* field, Each each)
    {
        nlohmann::json const* const array = find_array(field);
        if (array == nullptr) {
            return;
        }
        for (std::size_t place = 0; place < array->size(); ++place) {
            object_reader item((*array)[place],
                               m_file,
                               m_path + '/' + field + '/'
                                   + std::to_string(place),
                               m_faults);
            each(item);
            item.report_unknown_fields();
        }
    }

    /// The same for one object.
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

    /// Notes a fault for each field that nothing has asked for: a misspelt
    /// name would otherwise silently leave its default in force.
    void report_unknown_fields();

    /// Notes a fault of this field; the first few hundred of a list are kept,
    /// so that a list of nothing but faults does not fill the memory.
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
