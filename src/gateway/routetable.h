#pragma once

#include "base/irandomsource.h"
#include "gateway/gatewayconfiguration.h"

#include <string_view>

namespace lycheebay {

/// Returns the host of a Host header: lower case, without port. Thread-safe.
std::string normalizedHost(std::string_view host);

/// Returns the routes of a host, or null. The pointer lives as long as \a configuration.
/// Precondition: \a host is normalized. Thread-safe.
const RoutedHost *findHost(const GatewayConfiguration &configuration, std::string_view host);

/// Returns the route of the host with the longest prefix of \a path, or null. The pointer lives as
/// long as \a configuration. Precondition: \a host is normalized. Thread-safe.
const Route *findRoute(const GatewayConfiguration &configuration, std::string_view host,
                       std::string_view path);

/// Chooses a part of the route with a probability in proportion to its weight. The choice does not
/// depend on the load of the parts, so that each keeps its share.
/// Precondition: the route has a part. Thread-safe if \a random is.
const WeightedService &chooseService(const Route &route, IRandomSource &random);

/// Returns the properties of a service, or null. Thread-safe.
const ServiceProperties *findService(const GatewayConfiguration &configuration,
                                     std::string_view service);

} // namespace lycheebay
