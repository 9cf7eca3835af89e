#include "standins/target/targetfaults.h"

#include "standins/common/controlapi.h"

namespace lycheebay::standins {

using nlohmann::json;

namespace {

constexpr NumberField<TargetFaults> kFaultFields[] = {
    { "shed", &TargetFaults::shed },
    { "slowFactor", &TargetFaults::slowFactor },
    { "slowForMs", &TargetFaults::slowForMs },
    { "failFast", &TargetFaults::failFast },
    { "hangShare", &TargetFaults::hangShare },
    { "halfAnswerShare", &TargetFaults::halfAnswerShare },
    { "lateAnswerMs", &TargetFaults::lateAnswerMs },
    { "crashForMs", &TargetFaults::crashForMs },
    { "loadLagMs", &TargetFaults::loadLagMs },
    { "loadLie", &TargetFaults::loadLie },
};

bool isValidField(const std::string &name, const json &value)
{
    if (name == "cold" || name == "coldForMs" || name == "noWorkAfterMs")
        return value.is_number();
    if (name == "draining" || name == "stopped" || name == "crash")
        return value.is_boolean();
    if (name == "crashOnMarker")
        return value.is_string();
    TargetFaults unused;
    return setNumber(unused, kFaultFields, name, value);
}

} // namespace

absl::Status checkControl(const json &body)
{
    for (const auto &[name, value] : body.items()) {
        if (!isValidField(name, value))
            return absl::InvalidArgumentError("unknown field or wrong type: " + name);
    }
    return absl::OkStatus();
}

void setFaults(const json &body, TargetFaults &faults)
{
    for (const auto &[name, value] : body.items())
        setNumber(faults, kFaultFields, name, value);
}

} // namespace lycheebay::standins
