#include "daemon/settingspecs.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace lycheebay {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr double kPerMille = 1000.0;

bool parseNumber(const std::string &text, long min, long max, long &value)
{
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end && value >= min && value <= max;
}

template <auto Member, long Min, long Max>
bool storeInt(Settings &settings, const std::string &text)
{
    long value = 0;
    if (!parseNumber(text, Min, Max, value))
        return false;
    settings.*Member = static_cast<int>(value);
    return true;
}

template <auto Member, long Min, long Max>
bool storeMilliseconds(Settings &settings, const std::string &text)
{
    long value = 0;
    if (!parseNumber(text, Min, Max, value))
        return false;
    settings.*Member = std::chrono::milliseconds(value);
    return true;
}

/// A share of one, bounded in thousandths.
template <auto Member, long MinPerMille, long MaxPerMille>
bool storeShare(Settings &settings, const std::string &text)
{
    double value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const double perMille = value * kPerMille;
    if (parsed.ec != std::errc() || parsed.ptr != end || !(perMille >= MinPerMille)
        || !(perMille <= MaxPerMille))
        return false;
    settings.dispatcher.*Member = value;
    return true;
}

template <auto Member>
bool storeName(Settings &settings, const std::string &text)
{
    const bool allowed = std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) || c == '.' || c == '_' || c == '-';
    });
    if (text.empty() || text.size() > kMaxNameLength || !allowed)
        return false;
    settings.*Member = text;
    return true;
}

template <auto Member>
bool storeAddress(Settings &settings, const std::string &text)
{
    const auto address = parseAddress(text);
    if (!address.ok())
        return false;
    settings.*Member = *address;
    return true;
}

bool storePeer(Settings &settings, const std::string &text)
{
    const auto address = parseAddress(text);
    if (!address.ok())
        return false;
    settings.peers.push_back(*address);
    return true;
}

template <auto Member>
bool storeFlag(Settings &settings, const std::string &text)
{
    if (text != "true" && text != "false")
        return false;
    settings.*Member = text == "true";
    return true;
}

bool storeUnattested(Settings &settings, const std::string &text)
{
    if (text != "refuse" && text != "serve")
        return false;
    settings.serveWhenUnattested = text == "serve";
    return true;
}

bool storeStrategy(Settings &settings, const std::string &text)
{
    const auto strategy = parseStrategy(text);
    if (!strategy)
        return false;
    settings.dispatcher.strategy = *strategy;
    return true;
}

bool storeMaxQueued(Settings &settings, const std::string &text)
{
    long value = 0;
    if (!parseNumber(text, 1, 1'000'000, value))
        return false;
    settings.dispatcher.maxQueued = static_cast<std::size_t>(value);
    return true;
}

bool storeLogLevel(Settings &settings, const std::string &text)
{
    constexpr std::array kLevels{ "TRACE", "DEBUG", "INFO", "WARN", "ERROR", "OFF" };
    if (std::find(kLevels.begin(), kLevels.end(), text) == kLevels.end())
        return false;
    settings.logLevel = text;
    return true;
}

constexpr char kNameRange[] = "1 to 64 of A-Z a-z 0-9 . _ -";
constexpr char kAddressRange[] = "IPv4 address and port, as in 127.0.0.1:8080";

using S = Settings;
using D = DispatcherSettings;

const std::array kSpecs{
    SettingSpec{ "instance-id", "Name of this instance", kNameRange, nullptr, false,
                 storeName<&S::instanceId> },
    SettingSpec{ "region", "Region of this instance", kNameRange, nullptr, false,
                 storeName<&S::region> },
    SettingSpec{ "failure-domain", "Failure domain of this instance", kNameRange, nullptr, false,
                 storeName<&S::failureDomain> },
    SettingSpec{ "store-region", "Region in which the platform's log runs", kNameRange, nullptr,
                 false, storeName<&S::storeRegion> },
    SettingSpec{ "listen", "Address for callers and operators", kAddressRange, nullptr, false,
                 storeAddress<&S::listen> },
    SettingSpec{ "peer-listen", "Address for other entry instances", kAddressRange, nullptr, false,
                 storeAddress<&S::peerListen> },
    SettingSpec{ "platform", "Address of the platform's log and instance list", kAddressRange,
                 nullptr, false, storeAddress<&S::platform> },
    SettingSpec{ "peer", "Peer address of another entry instance; may be repeated", kAddressRange,
                 "", true, storePeer },
    SettingSpec{ "max-connections", "Open caller connections, each with a thread of its own",
                 "1 to 20000", "512", false, storeInt<&S::maxConnections, 1, 20000> },
    SettingSpec{ "max-connections-per-target", "Open connections to one target", "1 to 10000", "64",
                 false, storeInt<&S::maxConnectionsPerTarget, 1, 10000> },
    SettingSpec{ "max-body-bytes", "Largest request body", "1024 to 67108864", "1048576", false,
                 storeInt<&S::maxBodyBytes, 1024, 67108864> },
    SettingSpec{ "max-message-bytes", "Bytes of all requests and responses of callers together",
                 "1048576 to 1073741824", "16777216", false,
                 storeInt<&S::maxMessageBytes, 1048576, 1073741824> },
    SettingSpec{ "max-outcomes", "Idempotency keys held", "100 to 10000000", "100000", false,
                 storeInt<&S::maxOutcomes, 100, 10000000> },
    SettingSpec{ "max-outcome-bytes", "Bytes of stored responses held", "65536 to 1073741824",
                 "33554432", false, storeInt<&S::maxOutcomeBytes, 65536, 1073741824> },
    SettingSpec{ "spill-bytes-per-s", "Bytes a second forwarded to other regions",
                 "0 to 1000000000", "500000", false,
                 storeInt<&S::spillBytesPerSecond, 0, 1000000000> },
    SettingSpec{ "idle-timeout-ms", "Time after which an idle caller connection is closed",
                 "10 to 600000", "30000", false, storeMilliseconds<&S::idleTimeout, 10, 600000> },
    SettingSpec{ "default-deadline-ms", "Deadline of a request that names none", "1 to 600000",
                 "2000", false, storeMilliseconds<&S::defaultDeadline, 1, 600000> },
    SettingSpec{ "max-deadline-ms", "Longest deadline that a request may name", "1 to 600000",
                 "30000", false, storeMilliseconds<&S::maxDeadline, 1, 600000> },
    SettingSpec{ "address-ttl-ms", "Time for which callers may keep an address answer",
                 "100 to 60000", "2000", false, storeMilliseconds<&S::addressTtl, 100, 60000> },
    SettingSpec{ "ticket-life-ms", "Time in which a ticket may start a new request",
                 "1000 to 3600000", "60000", false,
                 storeMilliseconds<&S::ticketLife, 1000, 3600000> },
    SettingSpec{ "outcome-retention-ms", "Time for which outcomes are kept after the ticket's life",
                 "1000 to 86400000", "600000", false,
                 storeMilliseconds<&S::outcomeRetention, 1000, 86400000> },
    SettingSpec{ "poll-ms", "Period between reads of the log", "50 to 1000", "250", false,
                 storeMilliseconds<&S::pollPeriod, 50, 1000> },
    SettingSpec{ "platform-timeout-ms", "Longest wait for the platform", "50 to 10000", "1000",
                 false, storeMilliseconds<&S::platformTimeout, 50, 10000> },
    SettingSpec{ "leave-timeout-ms", "Longest wait for running requests and tickets at the end",
                 "0 to 3600000", "95000", false, storeMilliseconds<&S::leaveTimeout, 0, 3600000> },
    SettingSpec{ "log-retention-ms", "Time for which the platform keeps log records",
                 "60000 to 2592000000", "86400000", false,
                 storeMilliseconds<&S::logRetention, 60000, 2592000000> },
    SettingSpec{ "strategy", "How a target is chosen",
                 "slot-queue, round-robin, random, least-outstanding or two-choices", "slot-queue",
                 false, storeStrategy },
    SettingSpec{ "max-queued", "Requests that wait in one cell", "1 to 1000000", "1024", false,
                 storeMaxQueued },
    SettingSpec{ "retry-share", "Retries as a share of requests", "0 to 0.5", "0.1", false,
                 storeShare<&D::retryShare, 0, 500> },
    SettingSpec{ "hedge-share", "Hedges as a share of idempotent requests", "0 to 0.5", "0.05",
                 false, storeShare<&D::hedgeShare, 0, 500> },
    SettingSpec{ "max-ejected-share", "Share of a cell's targets that may be ejected", "0 to 1",
                 "0.5", false, storeShare<&D::maxEjectedShare, 0, 1000> },
    SettingSpec{ "measuring-share", "Share of a target's slot time that probes may cost",
                 "0.001 to 0.1", "0.01", false, storeShare<&D::measuringShare, 1, 100> },
    SettingSpec{ "when-unattested", "New work while the configuration is not attested",
                 "refuse or serve", "refuse", false, storeUnattested },
    SettingSpec{ "fatal-invariants", "End the process on a violated invariant", "true or false",
                 "false", false, storeFlag<&S::fatalInvariants> },
    SettingSpec{ "log-level", "Least severe level that is logged",
                 "TRACE, DEBUG, INFO, WARN, ERROR or OFF", "INFO", false, storeLogLevel },
};

} // namespace

std::span<const SettingSpec> settingSpecs()
{
    return kSpecs;
}

} // namespace lycheebay
