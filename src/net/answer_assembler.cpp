#include "net/answer_assembler.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace caperjunction::net {
namespace {

using json = nlohmann::json;

// Text fields that are sent complete, so that later values replace earlier
// ones instead of being appended.
constexpr std::array<std::string_view, 8> unsplit_fields{"id",
                                                         "object",
                                                         "model",
                                                         "role",
                                                         "type",
                                                         "name",
                                                         "finish_reason",
                                                         "system_fingerprint"};

bool is_unsplit_field(std::string_view field)
{
    return std::find(unsplit_fields.begin(), unsplit_fields.end(), field)
           != unsplit_fields.end();
}

bool is_indexed(json const& value)
{
    return value.is_object() && value.contains("index")
           && value["index"].is_number_unsigned();
}

/// Text that was added to an answer, in bytes.
using added_bytes = std::size_t;

added_bytes merge(json& into, json const& from);

std::size_t size_of(json const& value)
{
    return value.is_string() ? value.get_ref<std::string const&>().size()
                             : value.dump().size();
}

// Entries with the same index are parts of one entry; others are appended.
added_bytes merge_arrays(json& into, json const& from)
{
    added_bytes added = 0;
    for (json const& item : from) {
        json* match = nullptr;
        for (json& known : into) {
            if (is_indexed(item) && is_indexed(known)
                && known["index"] == item["index"]) {
                match = &known;
            }
        }
        if (match == nullptr) {
            into.push_back(item);
            added += size_of(item);
        } else {
            added += merge(*match, item);
        }
    }
    return added;
}

added_bytes merge_field(json& into, std::string const& field, json const& value)
{
    auto const known = into.find(field);
    if (value.is_null() && known != into.end()) {
        return 0;
    }
    if (known == into.end() || known->is_null()) {
        into[field] = value;
        return field.size() + size_of(value);
    }
    if (value.is_object() && known->is_object()) {
        return merge(*known, value);
    }
    if (value.is_array() && known->is_array()) {
        return merge_arrays(*known, value);
    }
    if (value.is_string() && known->is_string() && !is_unsplit_field(field)) {
        *known = known->get<std::string>() + value.get<std::string>();
        return size_of(value);
    }
    *known = value;
    return size_of(value);
}

added_bytes merge(json& into, json const& from)
{
    added_bytes added = 0;
    for (auto const& [field, value] : from.items()) {
        added += merge_field(into, field, value);
    }
    return added;
}

/// Returns the text after `data:`; empty for SSE comments.
std::string_view data_of(std::string_view event)
{
    constexpr std::string_view field = "data:";
    return event.rfind(field, 0) == 0 ? event.substr(field.size())
                                      : std::string_view{};
}

} // namespace

struct answer_assembler::state
{
    json answer = json::object();
    std::size_t bytes = 0;
};

answer_assembler::answer_assembler()
    : m_state(std::make_unique<state>())
{
}

answer_assembler::~answer_assembler() = default;
answer_assembler::answer_assembler(answer_assembler&&) noexcept = default;
answer_assembler&
answer_assembler::operator=(answer_assembler&&) noexcept = default;

bool answer_assembler::add(std::string_view events)
{
    std::size_t start = 0;
    while (start < events.size()) {
        std::size_t const end =
            std::min(events.find('\n', start), events.size());
        std::string_view const data =
            data_of(events.substr(start, end - start));
        start = end + 1;
        if (data.empty()) {
            continue;
        }
        json const event = json::parse(data, nullptr, false);
        if (!event.is_object()) {
            return false;
        }
        m_state->bytes += merge(m_state->answer, event);
    }
    return true;
}

std::size_t answer_assembler::size() const
{
    return m_state->bytes;
}

std::string answer_assembler::finish() const
{
    json answer = m_state->answer;
    if (answer.value("object", "") == "chat.completion.chunk") {
        answer["object"] = "chat.completion";
    }
    if (answer.contains("choices") && answer["choices"].is_array()) {
        for (json& choice : answer["choices"]) {
            if (choice.is_object() && choice.contains("delta")) {
                choice["message"] = choice["delta"];
                choice.erase("delta");
            }
        }
    }
    return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace caperjunction::net
