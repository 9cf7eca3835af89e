#pragma once

#include "estate/estatetypes.h"

#include <string>
#include <vector>

namespace lycheebay {

/// One object as its sheet row.
struct SheetRow
{
    /// Kind and identity, such as "target kat-1"; unique within a valid estate.
    std::string key;
    /// The CSV line without its end.
    std::string text;

    auto operator<=>(const SheetRow &) const = default;
};

/// Returns the rows of all objects in sheet order. Thread-safe.
std::vector<SheetRow> sheetRows(const EstateData &data);

} // namespace lycheebay
