#pragma once

#include "estate/estatetypes.h"

#include <absl/status/status.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheebay {

inline constexpr std::size_t kMaxSheetBytes = std::size_t(8) << 20;

/// The operators' morning sheet.
struct Sheet
{
    /// Revision of the configuration that the sheet was exported from.
    std::uint64_t baseRevision = 0;
    /// Later changes that the sheet replaces knowingly.
    std::vector<std::uint64_t> supersedes;
    EstateData estate;

    auto operator<=>(const Sheet &) const = default;
};

/// A fault in a sheet. Lines and columns count from 1; a column is a CSV field. Line 0 stands for
/// the whole file.
struct SheetFault
{
    std::size_t line = 0;
    std::size_t column = 0;
    std::string message;

    auto operator<=>(const SheetFault &) const = default;

    std::string toString() const;
};

/// What readSheet() found: either a sheet or at least one fault, never both.
struct SheetReading
{
    std::optional<Sheet> sheet;
    /// Sorted by line and column; the last one says so when further faults were left out.
    std::vector<SheetFault> faults;

    /// Returns OK or InvalidArgument with all faults, one a line.
    absl::Status status() const;
};

/// Reads a sheet: UTF-8 CSV, one object a line, at most kMaxSheetBytes. Thread-safe.
///
/// The first row is `lycheebay-sheet,1,<base revision>[,<superseded revisions>]`. Then follow
///     region,NAME
///     domain,NAME,REGION,active|drained
///     service,NAME
///     target,ID,SERVICE,DOMAIN,ADDRESS,SLOTS,COLD LIMIT,CONNECTIONS,active|drained
///     route,SERVICE,METHOD,PATH PREFIX,idempotent|non-idempotent,WEIGHT,HOME REGIONS
///     tenant,NAME,HOME REGIONS
///     stop,ID,target|domain|instance,NAME,START,END
/// in any order. Lists are separated by spaces, times are UTC as in 2026-12-04T09:30:00Z. Lines
/// that begin with '#' and empty lines are skipped.
SheetReading readSheet(std::string_view text);

/// Writes a sheet that readSheet() reads back as an equal one. Thread-safe.
/// Precondition: the estate passed validateEstate().
std::string writeSheet(const Sheet &sheet);

} // namespace lycheebay
