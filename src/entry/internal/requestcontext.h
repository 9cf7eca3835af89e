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

/// Who sent a request to this instance. A request is forwarded at most once within a region and
/// at most once between regions.
enum class RequestOrigin { Caller, SameRegion, OtherRegion };

/// A request that may be served here, with everything that was looked up for it.
struct RequestContext
{
    /// As received, but without the headers between entries.
    HttpRequest request;
    /// Path and query that the target sees.
    std::string targetPath;
    std::string service;
    std::string tenant;
    Route route;
    /// Regions that may serve it; empty means all. A request without any is refused before.
    std::vector<std::string> homeRegions;
    RequestOrigin origin = RequestOrigin::Caller;
    std::optional<IdempotencyKey> key;
    Fingerprint fingerprint = 0;
    TimePoint began;
    TimePoint deadline;
    const ICaller *caller = nullptr;
    IntrusivePtr<const ConfigurationState> configuration;
    IntrusivePtr<const CellPlan> plan;
    /// Whether another entry may have run it although its response was lost.
    bool mayHaveRun = false;
    /// Time spent waiting for targets and other entries.
    Duration upstream{};

    RequestTraits traits() const { return { route.weight, route.idempotent, deadline }; }
    bool mayLeaveTo(const std::string &region) const;
};

/// Looks a request up and checks it. The second kind of result was not run.
std::variant<RequestContext, Refusal> buildContext(const HttpRequest &request,
                                                   const ICaller &caller,
                                                   const EntrySettings &settings,
                                                   const Blackboard &board, TimePoint now);

/// Decodes percent escapes of a path. Null when the path could mean another one to a target: bad
/// escapes, escaped slashes, empty or dot segments, control characters.
std::optional<std::string> decodePath(std::string_view path);

/// The value of Lycheebay-Forwarded that this instance sends.
std::string forwardedValue(std::uint64_t incarnation);

} // namespace lycheebay
