#include "daemon/settings.h"

#include "daemon/settingspecs.h"

namespace lycheebay {

namespace {

SettingsProgram programOf(Settings &settings)
{
    SettingsProgram program{ "lycheebayd", "load balancer entry instance", {} };
    for (const SettingSpec &it : settingSpecs()) {
        program.entries.push_back({ it.name, it.description, it.range, it.defaultValue,
                                    it.repeatable,
                                    [&settings, store = it.store](const std::string &text) {
                                        return store(settings, text);
                                    } });
    }
    return program;
}

/// Faults that only show when settings are seen together.
void checkCombination(SettingsRequest &request)
{
    const Settings &settings = request.settings;
    if (settings.defaultDeadline > settings.maxDeadline)
        request.faults.emplace_back("--default-deadline-ms is longer than --max-deadline-ms");
    if (settings.listen == settings.peerListen)
        request.faults.emplace_back("--listen and --peer-listen name the same address");
    if (settings.addressTtl > settings.ticketLife)
        request.faults.emplace_back("--address-ttl-ms is longer than --ticket-life-ms");
    if (settings.leaveTimeout < settings.ticketLife + settings.maxDeadline) {
        request.faults.emplace_back("--leave-timeout-ms is shorter than --ticket-life-ms and "
                                    "--max-deadline-ms together, so "
                                    "a stop could cut requests");
    }
    if (settings.outcomeRetention < settings.maxDeadline)
        request.faults.emplace_back("--outcome-retention-ms is shorter than --max-deadline-ms");
}

} // namespace

SettingsRequest readSettings(const std::vector<std::string> &arguments,
                             const EnvironmentLookup &environment)
{
    SettingsRequest request;
    SettingsReading &reading = request;
    reading = readSettingValues(programOf(request.settings), arguments, environment);
    if (request.faults.empty() && request.information.empty())
        checkCombination(request);
    return request;
}

std::string describeSettings()
{
    Settings unused;
    return describeSettings(programOf(unused));
}

} // namespace lycheebay
