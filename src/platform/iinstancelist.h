#pragma once

#include "estate/address.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace lycheebay {

enum class InstanceState { Live, Leaving };

/// An entry instance or a target as the platform lists it.
struct PlatformInstance
{
    std::string id;
    /// Peer address of an entry instance; request address of a target.
    Address address;
    InstanceState state = InstanceState::Live;

    auto operator<=>(const PlatformInstance &) const = default;
};

/// The platform's list of instances. It lags, so absence or presence proves nothing.
class IInstanceList
{
public:
    virtual ~IInstanceList() = default;

    /// Returns the list as the platform shows it now, less the items that cannot be read. Errors:
    /// Unavailable. Blocks. Thread-safe.
    virtual absl::StatusOr<std::vector<PlatformInstance>> list() = 0;
};

} // namespace lycheebay
