#include "ctl/commands.h"
#include "ctl/options.h"

#include <iostream>

using namespace lycheebay;

int main(int argc, char **argv)
{
    const OptionsReading reading = readOptions({ argv, argv + argc });
    if (!reading.proceed) {
        (reading.exitCode == ExitCode::Done ? std::cout : std::cerr) << reading.text;
        return static_cast<int>(reading.exitCode);
    }
    return static_cast<int>(runCommand(reading.options, { std::cout, std::cerr }));
}
