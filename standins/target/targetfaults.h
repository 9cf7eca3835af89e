#pragma once

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

namespace lycheebay::standins {

/// Numbers that PUT /control/targets/<id> sets; 0 switches a fault off.
struct TargetFaults
{
    double shed = 0;
    double slowFactor = 0;
    /// Time after which slowFactor ends; 0 keeps it until changed.
    double slowForMs = 0;
    double failFast = 0;
    /// One in n requests hangs.
    double hangShare = 0;
    /// One in n responses announces more bytes than it sends.
    double halfAnswerShare = 0;
    double lateAnswerMs = 0;
    /// Time for which a crashed target refuses connections.
    double crashForMs = 2000;
    /// Age of the load that is reported.
    double loadLagMs = 0;
    /// In-flight count that is reported in place of the true one, when not negative.
    double loadLie = -1;
};

/// Checks the names and types of all fields of a control request. Errors: InvalidArgument.
absl::Status checkControl(const nlohmann::json &body);
/// Sets the faults that \a body names.
void setFaults(const nlohmann::json &body, TargetFaults &faults);

} // namespace lycheebay::standins
