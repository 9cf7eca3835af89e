#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/TextOutputter.h>
#include <cppunit/TextTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <string>

namespace {

/// Returns the tests of \a program that the file at \a path lists in lines of the form
/// "test: PROGRAM TEST". A missing file lists none.
std::set<std::string> readKnownRed(const std::string &path, const std::string &program)
{
    const std::string prefix = "test: " + program + ' ';
    std::ifstream file(path);
    std::set<std::string> tests;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(prefix))
            tests.insert(line.substr(prefix.size()));
    }
    return tests;
}

/// Prints the known failures. Returns false if another test failed, or if a listed one did not.
bool matchesKnownRed(const CppUnit::TestResultCollector &collector, std::set<std::string> knownRed)
{
    bool matches = true;
    std::set<std::string> failed;
    for (const CppUnit::TestFailure *it : collector.failures())
        failed.insert(it->failedTestName());
    for (const std::string &name : failed) {
        if (knownRed.erase(name) > 0)
            std::cout << "known red: " << name << '\n';
        else
            matches = false;
    }
    for (const std::string &name : knownRed) {
        std::cout << "not red any more, remove from the list: " << name << '\n';
        matches = false;
    }
    return matches;
}

} // namespace

/// usage: PROGRAM [LIST OF KNOWN FAILURES]
int main(int argc, char **argv)
{
    std::set<std::string> knownRed;
    if (argc > 1)
        knownRed = readKnownRed(argv[1], std::filesystem::path(argv[0]).filename());
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::TextTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(result);
    CppUnit::TextOutputter(&collector, std::cout).write();
    return matchesKnownRed(collector, std::move(knownRed)) ? 0 : 1;
}
