#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace lycheebay::load {

enum class Outcome { Done, NotRun, Unknown };
enum class Kind { Lookup, Order };
/// How a request was sent: through the system, or to a target for comparison.
enum class Path { Entry, Direct };

const char *outcomeName(Outcome outcome);

/// One try of a request as its caller saw it.
struct Try
{
    /// Idempotency-Key of an order; the request id of a lookup.
    std::string key;
    std::string address;
    Outcome outcome = Outcome::NotRun;
    /// HTTP status; 0 when there was no whole response.
    int status = 0;
    std::string reason;
    std::int64_t sentUs = 0;
    std::int64_t endUs = 0;

    bool operator==(const Try &) const = default;
};

/// One request with all its tries: a line of the history. Times count from the start of the run.
struct RequestRecord
{
    std::string id;
    std::string service;
    Kind kind = Kind::Lookup;
    Path path = Path::Entry;
    std::int64_t intendedUs = 0;
    std::int64_t endUs = 0;
    /// Tries that could not connect; they are not listed in `tries`.
    int connectionsRefused = 0;
    /// What the caller knows at the end.
    Outcome outcome = Outcome::NotRun;
    /// A response that is not the whole answer to this request.
    bool isWrong = false;
    std::vector<Try> tries;

    int status() const { return tries.empty() ? 0 : tries.back().status; }

    bool operator==(const RequestRecord &) const = default;
};

nlohmann::json toJson(const RequestRecord &record);
/// Throws nlohmann::json::exception when \a line is not a line of a history.
RequestRecord fromJson(const nlohmann::json &line);

} // namespace lycheebay::load
