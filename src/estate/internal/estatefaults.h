#pragma once

#include "estate/estatetypes.h"

#include <string>
#include <vector>

namespace lycheebay {

enum class EstateObject { Region, FailureDomain, Service, Target, Route, Tenant, PlannedStop };

/// A fault of one object of an EstateData, placed so that the sheet reader can name its line.
struct EstateFault
{
    EstateObject object = EstateObject::Region;
    /// Index in the vector of its kind.
    std::size_t index = 0;
    /// Column of the field in a sheet row; the kind is column 1.
    std::size_t column = 1;
    std::string message;

    auto operator<=>(const EstateFault &) const = default;
};

/// Returns every fault of \a data. Thread-safe.
std::vector<EstateFault> findEstateFaults(const EstateData &data);

} // namespace lycheebay
