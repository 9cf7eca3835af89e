#include "standins/target/targetspec.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <fstream>

namespace lycheebay::standins {

namespace {

/// Columns of a target row; the only place that knows their order.
enum Column { Kind, Id, Service, Domain, AddressColumn, Slots, ColdLimit, MaxConnections, Count };

std::vector<std::string> splitRow(std::string row)
{
    if (!row.empty() && row.back() == '\r')
        row.pop_back();
    std::vector<std::string> cells;
    std::size_t start = 0;
    for (std::size_t end = 0; end != std::string::npos; start = end + 1) {
        end = row.find(',', start);
        cells.push_back(row.substr(start, end - start));
    }
    return cells;
}

bool parsePositive(const std::string &text, int &value)
{
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end && value > 0;
}

bool parseTarget(const std::vector<std::string> &cells, TargetSpec &spec)
{
    if (cells.size() < Count)
        return false;
    const auto address = parseAddress(cells[AddressColumn]);
    if (!address.ok())
        return false;
    spec.id = cells[Id];
    spec.service = cells[Service];
    spec.failureDomain = cells[Domain];
    spec.address = *address;
    return parsePositive(cells[Slots], spec.slots)
           && parsePositive(cells[ColdLimit], spec.coldLimit)
           && parsePositive(cells[MaxConnections], spec.maxConnections);
}

bool selects(const std::vector<std::string> &names, const std::string &name)
{
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

bool TargetFilter::matches(const TargetSpec &spec) const
{
    return selects(services, spec.service) && selects(failureDomains, spec.failureDomain)
           && selects(ids, spec.id);
}

absl::StatusOr<std::vector<TargetSpec>> readTargets(const std::string &sheetFile)
{
    std::ifstream file(sheetFile);
    if (!file)
        return absl::NotFoundError("cannot read " + sheetFile);
    std::vector<TargetSpec> targets;
    std::string row;
    for (int line = 1; std::getline(file, row); ++line) {
        const std::vector<std::string> cells = splitRow(row);
        if (cells[Kind] != "target")
            continue;
        TargetSpec spec;
        if (!parseTarget(cells, spec))
            return absl::InvalidArgumentError(
                    fmt::format("{}:{}: malformed target row", sheetFile, line));
        targets.push_back(std::move(spec));
    }
    return targets;
}

} // namespace lycheebay::standins
