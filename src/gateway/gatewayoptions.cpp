#include "gateway/gatewayoptions.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace lycheebay {

namespace {

template <typename T>
bool parse(const std::string &text, T min, T max, T &value)
{
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end && value >= min && value <= max;
}

bool storeMilliseconds(const std::string &text, long min, long max, Duration &value)
{
    long ms = 0;
    if (!parse(text, min, max, ms))
        return false;
    value = std::chrono::milliseconds(ms);
    return true;
}

bool storeLogLevel(const std::string &text, std::string &level)
{
    constexpr std::array kLevels{ "TRACE", "DEBUG", "INFO", "WARN", "ERROR", "OFF" };
    level = text;
    return std::find(kLevels.begin(), kLevels.end(), text) != kLevels.end();
}

std::vector<SettingEntry> entriesOf(GatewayOptions &options)
{
    using Text = const std::string &;
    return {
        { "log-level", "Lowest level that is logged", "TRACE, DEBUG, INFO, WARN, ERROR or OFF",
          "INFO", false, [&](Text it) { return storeLogLevel(it, options.logLevel); } },
        { "max-log-lines", "Decisions logged per second; further ones are only counted",
          "1 to 100000", "300", false,
          [&](Text it) { return parse(it, 1, 100'000, options.maxLogLinesPerSecond); } },
        { "max-caller-connections",
          "Maximum number of caller connections; 0 derives it from descriptors and memory",
          "0 to 100000", "0", false,
          [&](Text it) {
              return parse<std::size_t>(it, 0, 100'000, options.maxCallerConnections);
          } },
        { "address-life-ms", "How long callers may cache an address answer", "100 to 60000", "1500",
          false, [&](Text it) { return storeMilliseconds(it, 100, 60'000, options.addressTtl); } },
        { "slot-share", "Fraction of a target's slots that is used", "0.1 to 1", "0.8", false,
          [&](Text it) { return parse(it, 0.1, 1.0, options.pool.slotShare); } },
        { "load-freshness-ms", "Maximum age of a load report that is used without a new probe",
          "1 to 1000", "40", false,
          [&](Text it) { return storeMilliseconds(it, 1, 1000, options.pool.loadFreshness); } },
        { "probe-wait-ms", "How long a request waits for an up-to-date load report", "0 to 1000",
          "15", false,
          [&](Text it) { return storeMilliseconds(it, 0, 1000, options.pool.probeWait); } },
        { "idle-probe-ms", "Time without a load report after which a target in use is probed",
          "100 to 60000", "1000", false,
          [&](Text it) {
              return storeMilliseconds(it, 100, 60'000, options.pool.idleProbePeriod);
          } },
    };
}

// Descriptors that are kept for everything but callers: files, connections to targets, to other
// instances and to the platform.
constexpr std::size_t kReservedDescriptors = 512;
// Part of the other descriptors that callers beyond the limit use until they are refused.
constexpr std::size_t kRefusalDivisor = 8;
// Memory of a caller's connection: its buffers here and unread bytes in the kernel.
constexpr std::size_t kBytesPerConnection = 16UL << 10U;
// Part of the memory that connections of callers may take.
constexpr std::size_t kMemoryDivisor = 3;
// Part of the memory that responses may take while they are read. A response that grows takes
// twice as much for a moment, and complete ones wait for their callers.
constexpr std::size_t kResponseMemoryDivisor = 5;
// Part of the memory that requests and answered responses may take. One that grows takes twice as
// much for a moment, and a single one may be as large as the configuration allows.
constexpr std::size_t kCallerMemoryDivisor = 4;
constexpr std::size_t kMinConnections = 64;
// Connections for address queries, which are short, as a part of those of callers.
constexpr std::size_t kLookupDivisor = 20;

std::size_t availableDescriptors(std::size_t descriptors)
{
    return descriptors > kReservedDescriptors ? descriptors - kReservedDescriptors : 0;
}

} // namespace

std::size_t callerConnectionLimit(std::size_t descriptors, std::size_t memoryBytes)
{
    const std::size_t available = availableDescriptors(descriptors);
    const std::size_t byDescriptors = available - available / kRefusalDivisor;
    const std::size_t byMemory = memoryBytes / kMemoryDivisor / kBytesPerConnection;
    return std::max(kMinConnections, std::min(byDescriptors, byMemory));
}

std::size_t lookupConnectionLimit(std::size_t descriptors)
{
    return std::max(kMinConnections, availableDescriptors(descriptors) / kLookupDivisor);
}

std::size_t callerMemoryLimit(std::size_t memoryBytes)
{
    return memoryBytes / kCallerMemoryDivisor;
}

std::size_t responseMemoryLimit(std::size_t memoryBytes)
{
    return memoryBytes / kResponseMemoryDivisor;
}

GatewayOptionsRequest readGatewayOptions(const std::string &program,
                                         const std::vector<std::string> &arguments,
                                         const EnvironmentLookup &environment)
{
    GatewayOptionsRequest request;
    SettingsReading &reading = request;
    reading = readSettingValues({ program, "load balancer gateway", entriesOf(request.options) },
                                arguments, environment);
    return request;
}

} // namespace lycheebay
