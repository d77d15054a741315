#include "lists/parse_document.hpp"

#include "lists/text_validation.hpp"
#include "model/limits.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <set>

namespace caperjunction::lists {
namespace {

// The deepest element of a valid list is /customers/N/teams/N/keys/N/id.
constexpr int max_depth = 12;
constexpr char const* nesting_remedy = "reduce the nesting";

/// Detects duplicate fields and excessive nesting from the parser's events; the
/// parsed value no longer shows duplicates.
class document_validator
{
public:
    document_validator(std::string const& file, std::vector<fault>& faults)
        : m_file(file)
        , m_faults(faults)
    {
    }

    /// Handles a parser event. Returns false to discard the value.
    bool handle_event(int depth,
                      nlohmann::json::parse_event_t event,
                      nlohmann::json const& value)
    {
        using event_kind = nlohmann::json::parse_event_t;
        switch (event) {
        case event_kind::object_start:
        case event_kind::array_start:
            count_item();
            if (!check_depth(depth)) {
                return false;
            }
            m_levels.push_back({event == event_kind::array_start, 0, {}, {}});
            return true;
        case event_kind::object_end:
        case event_kind::array_end:
            m_levels.pop_back();
            return true;
        case event_kind::key:
            check_key(value.get<std::string>());
            return true;
        case event_kind::value:
            count_item();
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

    // Counts an item of the innermost array.
    void count_item()
    {
        if (!m_levels.empty() && m_levels.back().is_array) {
            ++m_levels.back().items;
        }
    }

    bool check_depth(int depth)
    {
        if (depth < max_depth) {
            return true;
        }
        if (!m_depth_reported) {
            m_faults.push_back(
                {m_file, path(), "is nested too deeply", nesting_remedy});
        }
        m_depth_reported = true;
        return false;
    }

    void check_key(std::string const& key)
    {
        m_levels.back().key = key;
        if (!m_levels.back().seen.insert(key).second) {
            m_faults.push_back(
                {m_file, path(), "is a duplicate", "remove one of the two"});
        }
    }

    std::string path() const
    {
        std::string text;
        for (level const& level_entry : m_levels) {
            if (level_entry.is_array) {
                text += '/' + std::to_string(level_entry.items - 1);
            } else if (!level_entry.key.empty()) {
                text +=
                    '/'
                    + level_entry.key.substr(0, model::limits::max_name_length);
            }
        }
        return text;
    }

    std::string const& m_file;
    std::vector<fault>& m_faults;
    std::vector<level> m_levels;
    bool m_depth_reported = false;
};

/// Returns nothing and appends at least one fault if the text is unusable.
std::optional<nlohmann::json> parse_json(std::string_view text,
                                         std::string const& file,
                                         std::vector<fault>& faults)
{
    if (text.size() > model::limits::max_list_bytes) {
        faults.push_back(
            {file, "", "is larger than 1 MiB", "reduce the number of entries"});
        return std::nullopt;
    }
    std::size_t const initial_faults = faults.size();
    document_validator validator(file, faults);
    nlohmann::json root;
    try {
        root = nlohmann::json::parse(
            text,
            [&validator](int depth,
                         nlohmann::json::parse_event_t event,
                         nlohmann::json& value) {
                return validator.handle_event(depth, event, value);
            });
    } catch (nlohmann::json::parse_error const& syntax_error) {
        faults.push_back(
            {file,
             "",
             "is not JSON: byte " + std::to_string(syntax_error.byte),
             "correct the syntax at this position"});
    } catch (nlohmann::json::exception const&) {
        faults.push_back({file,
                          "",
                          "contains a number that is out of range",
                          "write a smaller number"});
    }
    if (faults.size() != initial_faults) {
        return std::nullopt;
    }
    return root;
}

} // namespace

void parse_document(std::string_view text,
                    std::string const& file,
                    std::vector<fault>& faults,
                    std::function<void(object_reader&)> const& read)
{
    auto const root = parse_json(text, file, faults);
    if (!root) {
        return;
    }
    object_reader reader(*root, file, "", faults);
    read(reader);
    reader.report_unknown_fields();
}

} // namespace caperjunction::lists
