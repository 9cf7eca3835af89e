#pragma once

#include "estate/address.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace lycheebay::standins {

/// One target as the sheet describes it.
struct TargetSpec
{
    std::string id;
    std::string service;
    std::string failureDomain;
    Address address;
    int slots = 1;
    int coldLimit = 1;
    int maxConnections = 250;
};

/// Which targets of a sheet one process plays; an empty list selects all.
struct TargetFilter
{
    std::vector<std::string> services;
    std::vector<std::string> failureDomains;
    std::vector<std::string> ids;

    bool matches(const TargetSpec &spec) const;
};

/// Reads the rows "target,ID,SERVICE,DOMAIN,ADDR:PORT,SLOTS,COLDLIMIT,MAXCONN" of a sheet.
/// Errors: NotFound, InvalidArgument naming the line. Thread-safe.
absl::StatusOr<std::vector<TargetSpec>> readTargets(const std::string &sheetFile);

} // namespace lycheebay::standins
