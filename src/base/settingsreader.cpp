#include "base/settingsreader.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <memory>
#include <sstream>

namespace lycheebay {

namespace {

constexpr char kVersion[] = "0.1.0";

/// Writes --help, --version and nothing else into a string, because the program decides where text
/// goes.
class TextOutput final : public TCLAP::StdOutput
{
public:
    explicit TextOutput(const SettingsProgram &program)
        : m_program(program)
    {}

    void usage(TCLAP::CmdLineInterface &) override { text = describeSettings(m_program); }
    void version(TCLAP::CmdLineInterface &) override
    {
        text = fmt::format("{} {}\n", m_program.name, kVersion);
    }

    std::string text;

private:
    const SettingsProgram &m_program;
};

std::string environmentName(const char *settingName)
{
    std::string name = fmt::format("LYCHEEBAY_{}", settingName);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return c == '-' ? '_' : std::toupper(c); });
    return name;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

/// The values of one setting and where they came from.
struct GivenValues
{
    std::vector<std::string> values;
    const char *source = "default";
};

GivenValues valuesOf(const SettingEntry &spec, const std::vector<std::string> &flagValues,
                     const EnvironmentLookup &environment)
{
    if (!flagValues.empty())
        return { flagValues, "flag" };
    if (const char *text = environment(environmentName(spec.name).c_str())) {
        if (spec.repeatable)
            return { splitList(text), "environment" };
        return { { text }, "environment" };
    }
    if (!spec.defaultValue || spec.repeatable)
        return {};
    return { { spec.defaultValue }, "default" };
}

void storeSetting(const SettingEntry &spec, const GivenValues &given, SettingsReading &request)
{
    if (given.values.empty() && !spec.repeatable) {
        request.faults.push_back(
                fmt::format("--{} is missing: give it as a flag or as {}; allowed: {}", spec.name,
                            environmentName(spec.name), spec.range));
        return;
    }
    for (const std::string &value : given.values) {
        request.inForce.push_back({ spec.name, value, given.source });
        if (!spec.store(value)) {
            request.faults.push_back(fmt::format("--{}: \"{}\" from {} is not allowed; allowed: {}",
                                                 spec.name, value, given.source, spec.range));
        }
    }
}

} // namespace

SettingsReading readSettingValues(const SettingsProgram &program,
                                  const std::vector<std::string> &arguments,
                                  const EnvironmentLookup &environment)
{
    using FlagValues = TCLAP::MultiArg<std::string>;

    SettingsReading request;
    TextOutput output(program);
    TCLAP::CmdLine commandLine(program.name, ' ', kVersion);
    commandLine.setOutput(&output);
    commandLine.setExceptionHandling(false);
    std::vector<std::unique_ptr<FlagValues>> flags;
    for (const SettingEntry &spec : program.entries) {
        flags.push_back(
                std::make_unique<FlagValues>("", spec.name, spec.description, false, "value"));
        commandLine.add(flags.back().get());
    }
    TCLAP::SwitchArg checkOnly("", "check-settings", "Print what is in force and exit");
    commandLine.add(checkOnly);

    try {
        std::vector<std::string> mutableArguments = arguments;
        commandLine.parse(mutableArguments);
    } catch (const TCLAP::ArgException &error) {
        request.faults.push_back(fmt::format("{} {}", error.argId(), error.error()));
        return request;
    } catch (const TCLAP::ExitException &) {
        request.information = output.text;
        return request;
    }
    request.checkOnly = checkOnly.getValue();
    for (std::size_t i = 0; i < flags.size(); ++i) {
        const SettingEntry &spec = program.entries[i];
        if (flags[i]->getValue().size() > 1 && !spec.repeatable)
            request.faults.push_back(fmt::format("--{} is given more than once", spec.name));
        storeSetting(spec, valuesOf(spec, flags[i]->getValue(), environment), request);
    }
    return request;
}

std::string describeSettings(const SettingsProgram &program)
{
    std::string text = fmt::format("{}: {}\n\n"
                                   "Each flag can also be given as an environment variable, for "
                                   "example --log-level as LYCHEEBAY_LOG_LEVEL.\n\n",
                                   program.name, program.summary);
    for (const SettingEntry &spec : program.entries) {
        const std::string fallback = !spec.defaultValue ? "required"
                                     : *spec.defaultValue
                                             ? fmt::format("default {}", spec.defaultValue)
                                             : "default none";
        text += fmt::format("  --{:<28} {}; {} ({})\n", spec.name, spec.description, spec.range,
                            fallback);
    }
    text += fmt::format("  --{:<28} {}\n", "check-settings", "Print what is in force and exit");
    text += fmt::format("  --{:<28} {}\n", "help, --version",
                        "Print this text or the version and exit");
    return text;
}

} // namespace lycheebay
