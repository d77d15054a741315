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

decision_description describe_one(decide::dispatch const& decision)
{
    return {"request_placed",
            decision.id,
            {{"upstream", decision.upstream},
             {"attempt", std::to_string(decision.attempt)},
             {"priority", std::to_string(decision.priority)},
             {"resume_offset", std::to_string(decision.resume_offset)},
             {"candidates", list_candidates(decision.candidates)},
             {"reason", decision.reason}}};
}

decision_description describe_one(decide::queued const& decision)
{
    return {"request_queued",
            decision.id,
            {{"position", std::to_string(decision.position)},
             {"reason", decision.reason}}};
}

decision_description describe_one(decide::refuse const& decision)
{
    return {"request_refused",
            decision.id,
            {{"kind", std::string(model::to_string(decision.kind))},
             {"outcome", std::string(model::to_string(decision.outcome))},
             {"retry_after_ms", std::to_string(decision.retry_after.count())},
             {"reason", decision.reason}}};
}

decision_description describe_one(decide::cancel_attempt const& decision)
{
    return {"attempt_cancelled",
            decision.id,
            {{"upstream", decision.upstream}, {"reason", decision.reason}}};
}

decision_description describe_one(decide::hand_over const& decision)
{
    return {"request_handed_over",
            decision.id,
            {{"to_host", decision.host}, {"reason", decision.reason}}};
}

decision_description describe_one(decide::eject_engine const& decision)
{
    return {"engine_ejected",
            {},
            {{"upstream", decision.engine}, {"reason", decision.reason}}};
}

decision_description describe_one(decide::readmit_engine const& decision)
{
    return {"engine_readmitted",
            {},
            {{"upstream", decision.engine}, {"reason", decision.reason}}};
}

decision_description describe_one(decide::quarantine_request const& decision)
{
    return {"request_quarantined",
            {},
            {{"fingerprint", fmt::format("{:016x}", decision.fingerprint)},
             {"reason", decision.reason}}};
}

decision_description describe_one(decide::shift_model const& decision)
{
    return {"model_shift_wished",
            {},
            {{"upstream", decision.engine},
             {"model", decision.model},
             {"reason", decision.reason}}};
}

} // namespace

decision_description describe(decide::decision const& decision)
{
    return std::visit(
        [](auto const& alternative) {
            return describe_one(alternative);
        },
        decision);
}

} // namespace caperjunction::program
