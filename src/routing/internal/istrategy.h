#pragma once

#include "base/irandomsource.h"
#include "routing/celldispatcher.h"

#include <memory>
#include <optional>
#include <span>

namespace lycheebay {

class TargetState;

/// A target to which the request may be sent.
struct Candidate
{
    TargetState *target = nullptr;
    /// Position in the target list.
    std::size_t position = 0;
    /// Estimated latency in seconds.
    double latency = 0;
};

/// Load-balancing algorithm that chooses among the candidates. Not thread-safe.
class IStrategy
{
public:
    virtual ~IStrategy() = default;

    /// True if requests may be queued and a target gets at most one attempt more than its slots.
    virtual bool isBoundedBySlots() const { return false; }

    /// Returns the index of the chosen candidate. Precondition: \a candidates is not empty.
    virtual std::size_t choose(std::span<const Candidate> candidates, IRandomSource &random) = 0;
};

std::unique_ptr<IStrategy> makeStrategy(StrategyKind kind);

} // namespace lycheebay
