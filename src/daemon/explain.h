#pragma once

#include "daemon/statuspage.h"

#include <string>
#include <string_view>

namespace lycheebay {

/// A request that an operator asks about.
struct ExplainQuestion
{
    std::string service;
    std::string method = "GET";
    std::string path = "/";
    std::string tenant;

    auto operator<=>(const ExplainQuestion &) const = default;
};

/// Reads the query of a request target; a parameter that is missing keeps its default. Thread-safe.
ExplainQuestion parseExplainQuestion(std::string_view target);

/// Returns, as a JSON document, where the request would go from this entry: its route, the home
/// regions, the dispatcher, and each target with what rules it out. Thread-safe.
std::string explainRequest(const StatusReport &report, const ExplainQuestion &question);

} // namespace lycheebay
