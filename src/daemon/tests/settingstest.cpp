#include "daemon/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace lycheebay {

namespace {

using Environment = std::map<std::string, std::string>;

SettingsRequest read(std::vector<std::string> extra, const Environment &environment = {})
{
    std::vector<std::string> arguments{ "lycheebayd",
                                        "--instance-id",
                                        "e1",
                                        "--region",
                                        "sof",
                                        "--failure-domain",
                                        "sof-a",
                                        "--store-region",
                                        "sof",
                                        "--listen",
                                        "127.0.0.1:8000",
                                        "--peer-listen",
                                        "127.0.0.1:9000",
                                        "--platform",
                                        "127.0.0.1:7000" };
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    return readSettings(arguments, [&](const char *name) -> const char * {
        const auto it = environment.find(name);
        return it == environment.end() ? nullptr : it->second.c_str();
    });
}

struct BadSetting
{
    std::string flag;
    std::string value;
};

} // namespace

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(flagGoesBeforeEnvironment);
    CPPUNIT_TEST(everyBadValueNamesItsSetting);
    CPPUNIT_TEST(reportsAllFaultsAtOnce);
    CPPUNIT_TEST(unknownFlagIsAFault);
    CPPUNIT_TEST(helpDescribesEverySetting);
    CPPUNIT_TEST_SUITE_END();

public:
    void flagGoesBeforeEnvironment()
    {
        const auto request =
                read({ "--max-queued", "7" }, { { "LYCHEEBAY_MAX_QUEUED", "9" },
                                                { "LYCHEEBAY_PEER", "127.0.0.1:1,127.0.0.1:2" } });
        CPPUNIT_ASSERT(request.faults.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), request.settings.dispatcher.maxQueued);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), request.settings.peers.size());
    }

    // Guards against a value that is taken although it is out of range or not a number.
    void everyBadValueNamesItsSetting()
    {
        const std::vector<BadSetting> table{
            { "--max-queued", "0" },         { "--max-queued", "12x" },
            { "--max-queued", "" },          { "--retry-share", "0.6" },
            { "--retry-share", "nan" },      { "--retry-share", "-0.1" },
            { "--address-ttl-ms", "1e3" },   { "--when-unattested", "maybe" },
            { "--strategy", "best" },        { "--log-level", "info" },
            { "--peer", "127.0.0.1" },       { "--peer", "host:80" },
            { "--peer", "127.0.0.1:65536" }, { "--max-connections", "99999999999999999999" },
        };
        for (const BadSetting &bad : table) {
            const auto request = read({ bad.flag, bad.value });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bad.flag + " " + bad.value, std::size_t(1),
                                         request.faults.size());
            CPPUNIT_ASSERT(request.faults.front().find(bad.flag) != std::string::npos);
        }
    }

    void reportsAllFaultsAtOnce()
    {
        const auto request = readSettings({ "lycheebayd" }, [](const char *) { return nullptr; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), request.faults.size());
    }

    void unknownFlagIsAFault()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), read({ "--no-such-flag", "1" }).faults.size());
    }

    void helpDescribesEverySetting()
    {
        const auto request = read({ "--help" });
        CPPUNIT_ASSERT(request.information.find("--ticket-life-ms") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace lycheebay
