#include "program/described.hpp"

#include "model/outcome.hpp"

#include <fmt/format.h>

#include <chrono>

namespace caperjunction::program {
namespace {

std::string list_candidates(std::vector<decide::candidate> const& candidates)
{
    std::string text;
    for (decide::candidate const& item : candidates) {
        if (!text.empty()) {
            text.push_back(',');
        }
        text += fmt::format("{}:{}ms", item.upstream, item.predicted.count());
    }
    return text;
}

decision_description describe_one(decide::dispatch const& made)
{
    return {"request_placed",
            made.id,
            {{"upstream", made.upstream},
             {"attempt", std::to_string(made.attempt)},
             {"priority", std::to_string(made.priority)},
             {"resume_offset", std::to_string(made.resume_offset)},
             {"candidates", list_candidates(made.candidates)},
             {"reason", made.reason}}};
}

decision_description describe_one(decide::queued const& made)
{
    return {
        "request_queued",
        made.id,
        {{"position", std::to_string(made.position)}, {"reason", made.reason}}};
}

decision_description describe_one(decide::refuse const& made)
{
    return {"request_refused",
            made.id,
            {{"kind", std::string(model::to_string(made.kind))},
             {"outcome", std::string(model::to_string(made.outcome))},
             {"retry_after_ms", std::to_string(made.retry_after.count())},
             {"reason", made.reason}}};
}

decision_description describe_one(decide::cancel_attempt const& made)
{
    return {"attempt_cancelled",
            made.id,
            {{"upstream", made.upstream}, {"reason", made.reason}}};
}

decision_description describe_one(decide::hand_over const& made)
{
    return {"request_handed_over",
            made.id,
            {{"to_host", made.host}, {"reason", made.reason}}};
}

decision_description describe_one(decide::eject_engine const& made)
{
    return {"engine_ejected",
            {},
            {{"upstream", made.engine}, {"reason", made.reason}}};
}

decision_description describe_one(decide::readmit_engine const& made)
{
    return {"engine_readmitted",
            {},
            {{"upstream", made.engine}, {"reason", made.reason}}};
}

decision_description describe_one(decide::quarantine_request const& made)
{
    return {"request_quarantined",
            {},
            {{"fingerprint", fmt::format("{:016x}", made.fingerprint)},
             {"reason", made.reason}}};
}

decision_description describe_one(decide::shift_model const& made)
{
    return {"model_shift_wished",
            {},
            {{"upstream", made.engine},
             {"model", made.model},
             {"reason", made.reason}}};
}

} // namespace

decision_description describe(decide::decision const& decision)
{
    return std::visit(
        [](auto const& made) {
            return describe_one(made);
        },
        decision);
}

} // namespace caperjunction::program
