#include "lists/parse_document.hpp"

#include "lists/text_validation.hpp"
#include "model/limits.hpp"

#include <set>

namespace caperjunction::lists {
namespace {

// The deepest place of a good list is /customers/N/teams/N/keys/N/id.
constexpr int max_depth = 12;
constexpr char const* nesting_remedy = "remove the nested brackets";

/// Watches the parser's events for what the finished value no longer shows.
class document_watch
{
public:
    document_watch(std::string const& file, std::vector<fault>& faults)
        : m_file(file)
        , m_faults(faults)
    {
    }

    /// False drops the value that has just been read.
    bool observe(int depth,
                 nlohmann::json::parse_event_t event,
                 nlohmann::json const& value)
    {
        using kind = nlohmann::json::parse_event_t;
        switch (event) {
        case kind::object_start:
        case kind::array_start:
            step();
            if (!is_shallow(depth)) {
                return false;
            }
            m_levels.push_back({event == kind::array_start, 0, {}, {}});
            return true;
        case kind::object_end:
        case kind::array_end:
            m_levels.pop_back();
            return true;
        case kind::key:
            note_key(value.get<std::string>());
            return true;
        case kind::value:
            step();
            return true;
        }
        return true;
    }

private:
    struct level
    {
        bool is_array = false;
        std::size_t items = 0;
        std::string key;
        std::set<std::string> seen;
    };

    // Counts an item of the array that is being read.
    void step()
    {
        if (!m_levels.empty() && m_levels.back().is_array) {
            ++m_levels.back().items;
        }
    }

    bool is_shallow(int depth)
    {
        if (depth < max_depth) {
            return true;
        }
        if (!m_deep) {
            m_faults.push_back(
                {m_file, path(), "is nested too deeply", nesting_remedy});
        }
        m_deep = true;
        return false;
    }

    void note_key(std::string const& key)
    {
        m_levels.back().key = key;
        if (!m_levels.back().seen.insert(key).second) {
            m_faults.push_back(
                {m_file, path(), "is given twice", "remove one of the two"});
        }
    }

    std::string path() const
    {
        std::string text;
        for (level const& step : m_levels) {
            if (step.is_array) {
                text += '/' + std::to_string(step.items - 1);
            } else if (!step.key.empty()) {
                text +=
                    '/' + step.key.substr(0, model::limits::max_name_length);
            }
        }
        return text;
    }

    std::string const& m_file;
    std::vector<fault>& m_faults;
    std::vector<level> m_levels;
    bool m_deep = false;
};

} // namespace

std::optional<nlohmann::json> parse_document(std::string_view text,
                                             std::string const& file,
                                             std::vector<fault>& faults)
{
    if (text.size() > model::limits::max_list_bytes) {
        faults.push_back(
            {file, "", "is larger than 1 MiB", "split the customers up"});
        return std::nullopt;
    }
    std::size_t const before = faults.size();
    document_watch watch(file, faults);
    nlohmann::json root;
    try {
        root =
            nlohmann::json::parse(text,
                                  [&watch](int depth,
                                           nlohmann::json::parse_event_t event,
                                           nlohmann::json& value) {
                                      return watch.observe(depth, event, value);
                                  });
    } catch (nlohmann::json::parse_error const& failure) {
        faults.push_back({file,
                          "",
                          "is not JSON: byte " + std::to_string(failure.byte),
                          "mend the syntax there"});
    } catch (nlohmann::json::exception const&) {
        faults.push_back({file,
                          "",
                          "holds a number that no computer can hold",
                          "write a smaller number"});
    }
    if (faults.size() != before) {
        return std::nullopt;
    }
    return root;
}

} // namespace caperjunction::lists
