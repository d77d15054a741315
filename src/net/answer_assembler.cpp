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

void merge(json& into, json const& from);

// Entries with the same index are parts of one entry; others are appended.
void merge_arrays(json& into, json const& from)
{
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
        } else {
            merge(*match, item);
        }
    }
}

void merge_field(json& into, std::string const& field, json const& value)
{
    auto const known = into.find(field);
    if (value.is_null()) {
        if (known == into.end()) {
            into[field] = value;
        }
        return;
    }
    if (known == into.end() || known->is_null()) {
        into[field] = value;
    } else if (value.is_object() && known->is_object()) {
        merge(*known, value);
    } else if (value.is_array() && known->is_array()) {
        merge_arrays(*known, value);
    } else if (value.is_string() && known->is_string()
               && !is_unsplit_field(field)) {
        *known = known->get<std::string>() + value.get<std::string>();
    } else {
        *known = value;
    }
}

void merge(json& into, json const& from)
{
    for (auto const& [field, value] : from.items()) {
        merge_field(into, field, value);
    }
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
        merge(m_state->answer, event);
    }
    return true;
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
