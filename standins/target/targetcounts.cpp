#include "standins/target/targetcounts.h"

#include "standins/target/targetcosts.h"

namespace lycheebay::standins {

nlohmann::json toJson(const TargetCounts &counts, int slots)
{
    const auto elapsed = std::chrono::steady_clock::now() - counts.since;
    const double elapsedMs = std::chrono::duration<double, std::milli>(elapsed).count();
    const double probeMs = static_cast<double>(counts.probes) * double(kProbeCost.count());
    return { { "requests", counts.requests },
             { "started", counts.started },
             { "notRun", counts.notRun },
             { "cancelled", counts.cancelled },
             { "probes", counts.probes },
             { "loadQueries", counts.loadQueries },
             { "connections", counts.connections },
             { "connectionsRefused", counts.connectionsRefused },
             { "crashes", counts.crashes },
             { "peakInFlight", counts.peakInFlight },
             { "peakInFlightCold", counts.peakInFlightCold },
             { "probeShare", elapsedMs > 0 ? probeMs / (elapsedMs * slots) : 0 },
             { "violations",
               { { "coldOverload", counts.coldOverload },
                 { "startAfterDraining", counts.startAfterDraining },
                 { "startAfterForbidden", counts.startAfterForbidden } } } };
}

} // namespace lycheebay::standins
