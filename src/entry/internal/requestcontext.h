#pragma once

#include "configuration/configurationstate.h"
#include "entry/blackboard.h"
#include "entry/entrysettings.h"
#include "outcomes/outcome.h"
#include "outcomes/ticket.h"
#include "transport/httpserver.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lycheebay {

/// The sender of a request to this instance. A request is forwarded at most once within a region
/// and at most once between regions.
enum class RequestOrigin { Caller, SameRegion, OtherRegion };

/// A validated request that may be served by this instance, with its route and the configuration it
/// was checked against.
struct RequestContext
{
    /// As received, but without Lycheebay-Forwarded.
    HttpRequest request;
    /// Path and query sent to the target.
    std::string targetPath;
    std::string service;
    std::string tenant;
    Route route;
    /// Regions that may serve the request; empty means all. A request that no region may serve is
    /// refused earlier.
    std::vector<std::string> homeRegions;
    RequestOrigin origin = RequestOrigin::Caller;
    std::optional<IdempotencyKey> key;
    Fingerprint fingerprint = 0;
    TimePoint receivedAt;
    TimePoint deadline;
    const ICaller *caller = nullptr;
    IntrusivePtr<const ConfigurationState> configuration;
    IntrusivePtr<const CellPlan> plan;
    /// Whether another entry may have run the request although its response was lost.
    bool mayHaveRun = false;
    /// Time spent waiting for targets and other entries.
    Duration upstreamTime{};

    RequestTraits traits() const { return { route.weight, route.idempotent, deadline }; }
    bool mayBeServedIn(const std::string &region) const;
};

/// Validates a request and looks up its route. A Refusal means that it was not run.
std::variant<RequestContext, Refusal> buildContext(const HttpRequest &request,
                                                   const ICaller &caller,
                                                   const EntrySettings &settings,
                                                   const Blackboard &board, TimePoint now);

/// Decodes the percent escapes of a path. Returns null if a target could interpret the path
/// differently: invalid escapes, escaped slashes, backslashes, empty or dot segments, control
/// characters.
std::optional<std::string> decodePath(std::string_view path);

/// Returns the value of Lycheebay-Forwarded that the given incarnation sends.
std::string forwardedValue(std::uint64_t incarnation);

} // namespace lycheebay
