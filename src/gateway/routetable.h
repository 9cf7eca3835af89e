#pragma once

#include "base/irandomsource.h"
#include "gateway/gatewayconfiguration.h"

#include <string_view>

namespace lycheebay {

/// Returns the host name of a Host header field in lower case and without the port. Thread-safe.
std::string normalizedHost(std::string_view host);

/// Returns the entry of a host, or null. The pointer is valid as long as \a configuration.
/// Precondition: \a host is normalized. Thread-safe.
const RoutedHost *findHost(const GatewayConfiguration &configuration, std::string_view host);

/// Returns the route of the host with the longest path prefix that matches \a path, or null. The
/// pointer is valid as long as \a configuration. Precondition: \a host is normalized. Thread-safe.
const Route *findRoute(const GatewayConfiguration &configuration, std::string_view host,
                       std::string_view path);

/// Chooses a service of the route at random, in proportion to the weights. Load is not considered,
/// so that the configured traffic split holds.
/// Precondition: the route has a service. Thread-safe if \a random is.
const WeightedService &chooseService(const Route &route, IRandomSource &random);

/// Returns the properties of a service, or null. The pointer is valid as long as
/// \a configuration. Thread-safe.
const ServiceProperties *findService(const GatewayConfiguration &configuration,
                                     std::string_view service);

} // namespace lycheebay
